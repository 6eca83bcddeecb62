package org.quetzalloom.core.backend

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.time.Timestamp

/**
 * What one VM knows of one backend server.
 *
 * @property start the start that it runs since, or `null` when unknown.
 * @property startedAt the latest time at which that start can have been.
 * @property doubted whether a connection broke since the start was last confirmed.
 * @property pastStarts earlier starts, newest last; late reports of them are ignored.
 * @property reportedRunning the requests that it ran by its last report.
 * @property running the attempts of this VM that it runs.
 * @property unconfirmed those of [running] that it has not begun to answer.
 * @property failures the failures since the last success.
 * @property suspendedUntil it receives no new work before this time.
 * @property askedAt when it was last asked for a report.
 */
internal data class ServerHealth(
    val start: StartIdentity? = null,
    val startedAt: Timestamp = Timestamp.EPOCH,
    val mayHaveRestarted: Boolean = false,
    val pastStarts: PersistentList<StartIdentity> = persistentListOf(),
    val reportedRunning: Int = 0,
    val running: Int = 0,
    val unaccepted: Int = 0,
    val failures: Int = 0,
    val suspendedUntil: Timestamp = Timestamp.EPOCH,
    val loadRequestedAt: Timestamp? = null,
) {
    /** Returns the health after the backend server was seen to run since [seen]. */
    fun withStart(seen: StartIdentity, at: Timestamp): ServerHealth = copy(
        start = seen,
        startedAt = at,
        mayHaveRestarted = false,
        pastStarts = start?.let { pastStarts.add(it).forgetOldest() } ?: pastStarts,
    )

    private fun PersistentList<StartIdentity>.forgetOldest(): PersistentList<StartIdentity> =
        if (size > MAX_PAST_STARTS) removeAt(0) else this

    private companion object {
        const val MAX_PAST_STARTS = 8
    }
}
