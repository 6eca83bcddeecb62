package org.quetzalloom.core.relay.server

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.time.Timestamp

/**
 * What this router knows of one backend server.
 *
 * @property listing the server's last entry in the list.
 * @property coldUntil the time until which the server counts as cold.
 * @property suspendedUntil the time until which the server gets no requests after it refused one or failed.
 * @property closedUntil the time until which the server wants no requests, as it said when it refused one.
 * @property leaving whether the server has announced in a response, of this router or of another one, that it shuts
 *   down.
 * @property consecutiveFailures the number of failures that made the server suspect since its last response.
 * @property failureRate the share of recent attempts that failed, from 0 to 1, as of [failureRateUpdatedAt].
 * @property failureRateUpdatedAt when [failureRate] last changed.
 * @property inFlight the number of this router's attempts in flight at the server.
 * @property pendingWork the prompts of these attempts that the server has still to read, in tokens weighted by model
 *   size.
 * @property loadReport the server's last load report, or `null` before the first.
 * @property loadReportedAt when [loadReport] arrived.
 * @property slowness how long the server's responses take to begin, compared with the usual time of its service.
 * @property workDuration how long work usually takes at the server.
 * @property coldSends the times of this router's recent attempts at the server while it was cold.
 * @property dropAt when the server is dropped, because its entry was removed or another server answers at its address;
 *   `null` while it is listed. It gets no requests in the meantime.
 */
internal data class ServerView(
    val listing: ServerListing,
    val coldUntil: Timestamp = Timestamp.EPOCH,
    val suspendedUntil: Timestamp = Timestamp.EPOCH,
    val closedUntil: Timestamp = Timestamp.EPOCH,
    val leaving: Boolean = false,
    val consecutiveFailures: Int = 0,
    val failureRate: Double = 0.0,
    val failureRateUpdatedAt: Timestamp = Timestamp.EPOCH,
    val inFlight: Int = 0,
    val pendingWork: Long = 0,
    val loadReport: LoadReport? = null,
    val loadReportedAt: Timestamp = Timestamp.EPOCH,
    val slowness: Slowness = Slowness(),
    val workDuration: WorkDuration = WorkDuration(),
    val coldSends: PersistentList<Timestamp> = persistentListOf(),
    val dropAt: Timestamp? = null,
) {
    /** Whether the server has announced that it shuts down, in its entry or in a response. */
    val isLeaving: Boolean get() = leaving || listing.draining

    /** The usual duration of work at the server, in multiples of the usual one; 1 if it does not say. */
    val workDurationOrUsual: Double get() = workDuration.factor ?: 1.0

    /** Returns the failure rate at [now]; it halves every [FAILURE_HALF_LIFE_MILLISECONDS] without an attempt. */
    fun failureRateAt(now: Timestamp): Double {
        if (failureRate == 0.0) return 0.0
        val halves = (now - failureRateUpdatedAt).coerceAtLeast(0).toDouble() / FAILURE_HALF_LIFE_MILLISECONDS
        return failureRate * Math.pow(HALF, halves)
    }

    /**
     * Returns the number of requests at the server at [now]: this router's own, or those of the last load report if
     * that is recent and names more.
     */
    fun loadAt(now: Timestamp): Int {
        val reported = loadReport?.takeIf { now - loadReportedAt <= LOAD_REPORT_VALID_MILLISECONDS }
        return maxOf(inFlight, reported?.let { it.running + it.waiting } ?: 0)
    }

    private companion object {
        /** The half-life of a failure. A failing server is tried again a few times in each half-life. */
        const val FAILURE_HALF_LIFE_MILLISECONDS = 4_000L

        /** Older reports say nothing of the current load, as most responses take less time than this. */
        const val LOAD_REPORT_VALID_MILLISECONDS = 1_500L
        const val HALF = 0.5
    }
}
