package org.quetzalloom.standins.engine

import kotlinx.serialization.Serializable

/**
 * Counters of an engine since its process started. They survive the simulated restarts.
 *
 * @property overloads the number of restarts caused by more generations than the engine could run at the time.
 * @property crashes the number of restarts caused by a prompt with [EngineStandIn.CRASH_MARKER].
 * @property generations the number of generations started, by version.
 * @property lastBegunAt the time when the last generation was started, in milliseconds since the epoch, by version.
 * @property peak the maximum number of concurrent generations.
 */
@Serializable
data class EngineStatistics(
    val overloads: Int = 0,
    val crashes: Int = 0,
    val generations: Map<String, Int> = emptyMap(),
    val lastBegunAt: Map<String, Long> = emptyMap(),
    val peak: Int = 0,
)
