package org.quetzalloom.standins.engine

/**
 * The settings of a stand-in engine.
 *
 * @property name the prefix of its start identities.
 * @property capacity the maximum number of concurrent generations when warm. A warm engine queues as many further ones,
 *   and rejects the rest with status 503.
 * @property coldCapacity the maximum number of concurrent generations right after a start. The limit rises linearly to
 *   [capacity] during the warm-up; a cold engine that is given more restarts.
 * @property warmUpMilliseconds the time from a start until the limit is [capacity].
 * @property tokenMilliseconds the time between two tokens of a generation.
 * @property loadLagMilliseconds the age of the load that it reports.
 * @property restartMilliseconds the time during which it is down between two starts.
 */
data class EngineSettings(
    val name: String,
    val capacity: Int = 32,
    val coldCapacity: Int = 4,
    val warmUpMilliseconds: Long = 5_000,
    val tokenMilliseconds: Long = 10,
    val loadLagMilliseconds: Long = 500,
    val restartMilliseconds: Long = 500,
)
