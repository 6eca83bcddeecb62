package org.quetzalloom.core.relay.server

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.time.Timestamp

/**
 * What this router believes of one backend server.
 *
 * @property listing its last entry in the list.
 * @property coldUntil until when it is taken to be cold.
 * @property suspendedUntil until when it gets nothing, after connections to it failed.
 * @property consecutiveFailures connections that failed since the last answer.
 * @property failureRate the share of recent attempts that failed, from 0 to 1.
 * @property failureRateUpdatedAt when [failureRate] was last changed.
 * @property inFlight this router's own attempts at it.
 * @property pendingWork the prompts of these attempts that it has still to read, weighed by model.
 * @property loadReport its last report.
 * @property loadReportedAt when [loadReport] was reported.
 * @property slowness how long its answers take to begin, against the usual time.
 * @property coldSends when this router sent to it lately while it was cold.
 * @property dropAt when it is dropped, if its entry has been removed.
 */
internal data class ServerView(
    val listing: ServerListing,
    val coldUntil: Timestamp = Timestamp.EPOCH,
    val suspendedUntil: Timestamp = Timestamp.EPOCH,
    val consecutiveFailures: Int = 0,
    val failureRate: Double = 0.0,
    val failureRateUpdatedAt: Timestamp = Timestamp.EPOCH,
    val inFlight: Int = 0,
    val pendingWork: Long = 0,
    val loadReport: LoadReport? = null,
    val loadReportedAt: Timestamp = Timestamp.EPOCH,
    val slowness: Slowness = Slowness(),
    val coldSends: PersistentList<Timestamp> = persistentListOf(),
    val dropAt: Timestamp? = null,
) {
    /** Returns the failure score at [now], which halves every [FAILURE_HALF_LIFE_MILLISECONDS]. */
    fun failureRateAt(now: Timestamp): Double {
        val halves = (now - failureRateUpdatedAt).coerceAtLeast(0).toDouble() / FAILURE_HALF_LIFE_MILLISECONDS
        return failureRate * Math.pow(HALF, halves)
    }

    /** Returns the requests at the server, as far as this router knows. */
    fun loadAt(now: Timestamp): Int {
        val reported = loadReport?.takeIf { now - loadReportedAt <= LOAD_REPORT_VALID_MILLISECONDS }
        return maxOf(inFlight, reported?.let { it.running + it.waiting } ?: 0)
    }

    private companion object {
        /** After this time a failure counts half. A failing server is tried again a few times in each. */
        const val FAILURE_HALF_LIFE_MILLISECONDS = 4_000L

        /** Older reports say nothing of the load of now; most answers take less. */
        const val LOAD_REPORT_VALID_MILLISECONDS = 1_500L
        const val HALF = 0.5
    }
}
