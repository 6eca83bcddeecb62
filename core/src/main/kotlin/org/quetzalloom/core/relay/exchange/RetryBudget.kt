package org.quetzalloom.core.relay.exchange

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.relay.RelaySettings
import org.quetzalloom.core.time.Timestamp

/**
 * Counts the requests of a service and their retries, to limit the retries in any window of time.
 *
 * Counts are kept per second. The window is rounded up to whole seconds for retries and down for requests, so that the
 * limit holds for every window.
 *
 * @property requests the number of requests, by the second in which they arrived.
 * @property retries the number of further attempts, by the second in which they were sent.
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
     * Returns whether this router may send one more retry at [now].
     *
     * The limit is [RelaySettings.retryRatio] of this router's requests in the window plus an equal share, among
     * [routerCount] routers, of [RelaySettings.retrySlack].
     */
    fun mayRetry(settings: RelaySettings, routerCount: Int, now: Timestamp): Boolean {
        val second = now.second
        val span = settings.retryWindowMilliseconds / MILLISECONDS_PER_SECOND
        val requestsInWindow = requests.entries.sumOf { (at, count) -> if (at > second - span) count else 0 }
        val retriesInWindow = retries.entries.sumOf { (at, count) -> if (at >= second - span) count else 0 }
        val allowed =
            settings.retryRatio * requestsInWindow * RATIO_SAFETY_FACTOR + Math.floor(settings.retrySlack / routerCount)
        return retriesInWindow + 1 <= allowed
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
        const val COUNT_RETENTION_SECONDS = 60L

        /** The share of the limit that is used; the rest covers attempts that arrive later than they were sent. */
        const val RATIO_SAFETY_FACTOR = 0.9
    }
}
