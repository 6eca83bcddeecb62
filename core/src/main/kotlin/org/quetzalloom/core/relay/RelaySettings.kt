package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.feed.Feed

/**
 * What a relay is told at its start.
 *
 * @property graceMilliseconds the time between the request to stop and the kill.
 * @property retryRatio the repeats that a service may get for each request, in any [retryWindowMilliseconds].
 * @property retrySlack the repeats that a service may get besides, from all routers together.
 * @property exposureLimit the largest share of a service's requests in the time of a roll-out that a version may get
 *   which turns out to be bad.
 * @property sessionMilliseconds requests of a session that follow each other within this time belong together.
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
    public val sessionMilliseconds: Long,
    public val serversReadIntervalMilliseconds: Long = SERVERS_READ_INTERVAL_MILLISECONDS,
) {
    /** Returns the time between two reads of [feed]. A waiting read needs none. */
    internal fun readInterval(feed: Feed): Long = when (feed) {
        Feed.ORDERS -> 0
        Feed.SERVERS -> serversReadIntervalMilliseconds
        Feed.STATUS -> STATUS_READ_INTERVAL_MILLISECONDS
    }

    /** Returns how long a read of [feed] waits for a record. */
    internal fun readWait(feed: Feed): Long = if (feed == Feed.ORDERS) ORDERS_READ_WAIT_MILLISECONDS else 0

    private companion object {
        /** Short enough to notice a connection that has gone silent. */
        const val ORDERS_READ_WAIT_MILLISECONDS = 1_500L

        /** A leaving server must get nothing 2 s after the store knows; this leaves room for a failed read. */
        const val SERVERS_READ_INTERVAL_MILLISECONDS = 1_000L

        /** A reverted version must get nothing within seconds. */
        const val STATUS_READ_INTERVAL_MILLISECONDS = 1_000L
    }
}
