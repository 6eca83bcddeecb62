package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.feed.Feed

/**
 * The settings of a relay, which can change while it runs.
 *
 * @property vm the VM of this router.
 * @property zone the availability zone of this router.
 * @property graceMilliseconds the time from the request to stop until the process is killed.
 * @property retryRatio the maximum number of retries per request that a service may get, in any window of
 *   [retryWindowMilliseconds].
 * @property retrySlack the number of retries that a service may get in such a window beyond the ratio, from all routers
 *   together.
 * @property exposureLimit the maximum share, from 0 to 1, of a service's requests during a roll-out that the new
 *   version may get if it turns out to be bad.
 * @property sessionIdleTimeoutMilliseconds the idle time after which a session ends, and with it its version affinity.
 * @property serversReadIntervalMilliseconds the time between two reads of the list of backend servers.
 */
public data class RelaySettings(
    public val vm: VmId,
    public val zone: AvailabilityZoneId,
    public val graceMilliseconds: Long,
    public val retryRatio: Double,
    public val retryWindowMilliseconds: Long,
    public val retrySlack: Double,
    public val exposureLimit: Double,
    public val sessionIdleTimeoutMilliseconds: Long,
    public val serversReadIntervalMilliseconds: Long = SERVERS_READ_INTERVAL_MILLISECONDS,
) {
    /** Returns the time between two reads of [feed], in milliseconds; 0 for a feed whose reads wait for records. */
    internal fun readInterval(feed: Feed): Long = when (feed) {
        Feed.ORDERS -> 0
        Feed.SERVERS -> serversReadIntervalMilliseconds
        Feed.STATUS -> STATUS_READ_INTERVAL_MILLISECONDS
    }

    /** Returns how long a read of [feed] waits for a record, in milliseconds. */
    internal fun readWait(feed: Feed): Long = if (feed == Feed.ORDERS) ORDERS_READ_WAIT_MILLISECONDS else 0

    private companion object {
        /** Short enough to notice a dead connection soon. */
        const val ORDERS_READ_WAIT_MILLISECONDS = 1_500L

        /**
         * A server must get no more requests 2 s after the store knows that it drains; this allows for a failed read.
         */
        const val SERVERS_READ_INTERVAL_MILLISECONDS = 1_000L

        /** A reverted version must get no more requests within seconds. */
        const val STATUS_READ_INTERVAL_MILLISECONDS = 1_000L
    }
}
