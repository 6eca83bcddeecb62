package org.quetzalloom.standins.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.time.Timestamp

/** The number of generations [running] at the time [at]. */
data class RunningSample(val at: Timestamp, val running: Int)

/**
 * The state of an engine.
 *
 * @property starts the number of starts; 0 before the first event.
 * @property startedAt the time of the last start. It is in the future while the engine is down.
 * @property running the generations whose tokens are being sent, and the stalled ones.
 * @property queue the accepted generations that wait for capacity, in order of arrival.
 * @property samples the recent load, oldest first, from which the lagging load reports are taken.
 */
data class EngineState(
    val starts: Int = 0,
    val startedAt: Timestamp = Timestamp.EPOCH,
    val running: PersistentList<Generation> = persistentListOf(),
    val queue: PersistentList<Generation> = persistentListOf(),
    val samples: PersistentList<RunningSample> = persistentListOf(),
    val statistics: EngineStatistics = EngineStatistics(),
)
