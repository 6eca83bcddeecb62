package org.quetzalloom.standins.engine

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.time.Timestamp

/** The generations that ran at one time. */
data class RunningSample(val at: Timestamp, val running: Int)

/**
 * What an engine does.
 *
 * @property starts the number of starts.
 * @property startedAt when the last start was, or will be while the engine is down.
 */
data class EngineState(
    val starts: Int = 0,
    val startedAt: Timestamp = Timestamp.EPOCH,
    val running: PersistentList<Generation> = persistentListOf(),
    val queue: PersistentList<Generation> = persistentListOf(),
    val samples: PersistentList<RunningSample> = persistentListOf(),
    val statistics: EngineStatistics = EngineStatistics(),
)
