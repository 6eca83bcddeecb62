package org.quetzalloom.standins.engine

import kotlinx.serialization.Serializable

/**
 * What an engine has done since its process began.
 *
 * @property overloads the times it went down because it was given more than it could bear.
 * @property crashes the times it went down because of a marked request.
 * @property generations the generations begun, by version.
 * @property lastBegunAt when the last one was begun, in milliseconds since the epoch, by version.
 * @property peak the most generations at once.
 */
@Serializable
data class EngineStatistics(
    val overloads: Int = 0,
    val crashes: Int = 0,
    val generations: Map<String, Int> = emptyMap(),
    val lastBegunAt: Map<String, Long> = emptyMap(),
    val peak: Int = 0,
)
