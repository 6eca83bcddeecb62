package org.quetzalloom.standins.engine

/**
 * How a stand-in engine behaves. Times are in milliseconds.
 *
 * @property name the first part of its start identities.
 * @property capacity the generations that it runs at once when warm.
 * @property coldCapacity the generations that it bears at once just after a start; it goes down under more.
 * @property warmUpMilliseconds the time from a start until it bears [capacity].
 * @property tokenMilliseconds the time from one token to the next.
 * @property loadLagMilliseconds how old the load is that it reports.
 * @property restartMilliseconds the time from going down to the next start.
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
