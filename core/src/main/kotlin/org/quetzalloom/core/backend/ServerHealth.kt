package org.quetzalloom.core.backend

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.time.Timestamp

/**
 * What this VM knows about one backend server.
 *
 * @property start the identity of its current start, or `null` if unknown.
 * @property startedAt the latest time at which that start can have happened; the warm-up counts from here.
 * @property mayHaveRestarted whether a failure occurred since [start] was first seen, or last confirmed by an accepted
 *   attempt. The backend server then counts as cold.
 * @property pastStarts earlier starts, newest last, at most [MAX_PAST_STARTS]; late reports of them are ignored.
 * @property reportedRunning the number of requests of all VMs that it was running, according to its last load report.
 * @property running the number of attempts of this VM in flight there.
 * @property unaccepted the number of those of [running] that it has not begun to answer.
 * @property consecutiveFailures the number of failed attempts and load reports, without refusals, since an attempt
 *   was last accepted or completed.
 * @property suspendedUntil the time before which it receives no new work.
 * @property loadRequestedAt the time of the last load request, or `null` before the first.
 */
internal data class ServerHealth(
    val start: StartIdentity? = null,
    val startedAt: Timestamp = Timestamp.EPOCH,
    val mayHaveRestarted: Boolean = false,
    val pastStarts: PersistentList<StartIdentity> = persistentListOf(),
    val reportedRunning: Int = 0,
    val running: Int = 0,
    val unaccepted: Int = 0,
    val consecutiveFailures: Int = 0,
    val suspendedUntil: Timestamp = Timestamp.EPOCH,
    val loadRequestedAt: Timestamp? = null,
) {
    /** Returns the health after the new start [newStart], which happened at [startedAt] or earlier, was seen. */
    fun withStart(newStart: StartIdentity, startedAt: Timestamp): ServerHealth = copy(
        start = newStart,
        startedAt = startedAt,
        mayHaveRestarted = false,
        pastStarts = start?.let { pastStarts.add(it).dropOldestOverLimit() } ?: pastStarts,
    )

    private fun PersistentList<StartIdentity>.dropOldestOverLimit(): PersistentList<StartIdentity> =
        if (size > MAX_PAST_STARTS) removeAt(0) else this

    private companion object {
        const val MAX_PAST_STARTS = 8
    }
}
