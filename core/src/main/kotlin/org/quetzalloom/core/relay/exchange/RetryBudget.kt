package org.quetzalloom.core.relay.exchange

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.relay.RelaySettings
import org.quetzalloom.core.time.Timestamp

/**
 * Counts this router's requests to a service and their retries, to limit the retries in any window of time.
 *
 * Counts are kept per second. The window ends with the current second and is rounded down to whole seconds; retries are
 * counted for one second more, because the second in which the window began is only partly in it. A window longer than
 * [COUNT_RETENTION_SECONDS] is not covered completely.
 *
 * @property requests the number of requests, by the second in which they arrived.
 * @property retries the number of retries, by the second in which they were sent.
 */
internal data class RetryBudget(
    val requests: PersistentMap<Long, Int> = persistentMapOf(),
    val retries: PersistentMap<Long, Int> = persistentMapOf(),
) {
    /** Returns the budget after a request has arrived at [now]. */
    fun countRequest(now: Timestamp): RetryBudget = copy(requests = requests.increment(now))

    /** Returns the budget after a retry at [now]. */
    fun countRetry(now: Timestamp): RetryBudget = copy(retries = retries.increment(now))

    /**
     * Returns whether this router may send one more retry to the service at [now].
     *
     * The retries in the last [RelaySettings.retryWindowMilliseconds], this one included, may be at most
     * [RATIO_SAFETY_FACTOR] * [RelaySettings.retryRatio] times this router's requests in that window, plus this
     * router's share of [RelaySettings.retrySlack]: the slack divided by [routerCount], rounded down.
     *
     * @param reservedShare the share of these retries, from 0 to 1, that is left to others.
     */
    fun mayRetry(
        settings: RelaySettings,
        routerCount: Int,
        now: Timestamp,
        reservedShare: Double = 0.0,
    ): Boolean {
        val second = now.second
        val span = settings.retryWindowMilliseconds / MILLISECONDS_PER_SECOND
        val requestsInWindow = requests.entries.sumOf { (at, count) -> if (at > second - span) count else 0 }
        val retriesInWindow = retries.entries.sumOf { (at, count) -> if (at >= second - span) count else 0 }
        val ratio = settings.retryRatio * RATIO_SAFETY_FACTOR
        val allowed = ratio * requestsInWindow + Math.floor(settings.retrySlack / routerCount)
        return retriesInWindow + 1 <= allowed * (1 - reservedShare)
    }

    private fun PersistentMap<Long, Int>.increment(now: Timestamp): PersistentMap<Long, Int> {
        val second = now.second
        val kept = keys.filter { it < second - COUNT_RETENTION_SECONDS }
            .fold(this) { counts, old -> counts.remove(old) }
        return kept.put(second, (kept[second] ?: 0) + 1)
    }

    private val Timestamp.second: Long get() = Math.floorDiv(epochMilliseconds, MILLISECONDS_PER_SECOND)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L

        /** Counts older than this are dropped. */
        const val COUNT_RETENTION_SECONDS = 60L

        /**
         * Lowers the limit that follows from the ratio, as attempts arrive at backend servers later than they are sent.
         */
        const val RATIO_SAFETY_FACTOR = 0.9
    }
}
