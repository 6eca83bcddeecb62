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
 * @property callerPort the port at which this router accepts requests, from callers and from other routers that hand
 *   requests over; `null` if it takes over none.
 * @property serversReadIntervalMilliseconds the longest time between two reads of the list of backend servers.
 * @property changeBoundMilliseconds the shortest time within which all routers must act on a change in the store. The
 *   pace of all reads follows from it, so that a reader can fail without another router missing the bound.
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
    public val callerPort: Int? = null,
    public val serversReadIntervalMilliseconds: Long = SERVERS_READ_INTERVAL_MILLISECONDS,
    public val changeBoundMilliseconds: Long = CHANGE_BOUND_MILLISECONDS,
) {
    /** How long a read through another router waits for a record, in milliseconds. */
    internal val readerWaitMilliseconds: Long get() = changeBoundMilliseconds / READER_WAIT_DIVISOR

    /** How much longer than its wait a read through another router may take, in milliseconds. */
    internal val readerTimeoutMilliseconds: Long get() = changeBoundMilliseconds / READER_TIMEOUT_DIVISOR

    /** The age of a feed's records from which routers check whether the store can be read, in milliseconds. */
    internal val storeCheckAgeMilliseconds: Long get() = changeBoundMilliseconds * STORE_CHECK_PERCENT / PERCENT

    /**
     * The age of a feed's records from which a read of the store that is overdue is replaced by one of the newest
     * records, in milliseconds.
     */
    internal val heldReadAgeMilliseconds: Long get() = changeBoundMilliseconds * HELD_READ_PERCENT / PERCENT

    /** How long a read of the store is given for a slow answer before it counts as held, in milliseconds. */
    internal val longestDelayMilliseconds: Long get() = changeBoundMilliseconds / LONGEST_DELAY_DIVISOR

    /** The age of a feed's records from which a router does not depend on others to read it, in milliseconds. */
    internal val ownReadAgeMilliseconds: Long get() = changeBoundMilliseconds * OWN_READ_PERCENT / PERCENT

    /** The age of a feed's records from which each router checks whether the store can be read, in milliseconds. */
    internal val ownCheckAgeMilliseconds: Long get() = changeBoundMilliseconds * OWN_CHECK_PERCENT / PERCENT

    /** Returns the time between two reads of [feed], in milliseconds; 0 for a feed whose reads wait for records. */
    internal fun readInterval(feed: Feed): Long = when (feed) {
        Feed.SERVERS -> minOf(serversReadIntervalMilliseconds, changeBoundMilliseconds / SERVERS_INTERVAL_DIVISOR)
        Feed.ORDERS, Feed.STATUS -> 0
    }

    /** Returns how long a read of [feed] from the store waits for a record, in milliseconds. */
    internal fun readWait(feed: Feed): Long =
        if (feed == Feed.SERVERS) 0 else changeBoundMilliseconds * WAIT_PERCENT / PERCENT

    /** Returns the age in milliseconds that the records of [feed] at a reader do not reach while its reads succeed. */
    internal fun maximumAge(feed: Feed): Long =
        readInterval(feed) + readWait(feed) + changeBoundMilliseconds * AGE_MARGIN_PERCENT / PERCENT

    public companion object {
        /**
         * The largest [changeBoundMilliseconds] that makes sense: with a larger one a dead connection goes unnoticed.
         */
        public const val LARGEST_CHANGE_BOUND_MILLISECONDS: Long = 3_000

        private const val SERVERS_READ_INTERVAL_MILLISECONDS = 1_000L

        private const val CHANGE_BOUND_MILLISECONDS = 3_000L

        /*
         * A reader that stops just before a read delays a change by the interval of its reads, the wait and the timeout
         * of a read through it, and a read through the next one. The sum must stay below the bound.
         */
        private const val SERVERS_INTERVAL_DIVISOR = 3
        private const val READER_WAIT_DIVISOR = 5
        private const val LONGEST_DELAY_DIVISOR = 5
        private const val READER_TIMEOUT_DIVISOR = 6
        private const val WAIT_PERCENT = 45
        private const val AGE_MARGIN_PERCENT = 22

        /*
         * Above the age that records have at a router just before an answer of a reader whose reads succeed: the wait
         * of the reader's own read and that of the call to it. What is left of the bound is enough for the check of the
         * store, the news of it, and a read through the router that has succeeded.
         */
        private const val STORE_CHECK_PERCENT = 70

        /*
         * Above the age that records have at a reader whose reads succeed, and so low that those who read through it
         * do not yet look for another.
         */
        private const val HELD_READ_PERCENT = 50

        /*
         * Above the age that records reach while one reader is silent, so that its standby is asked first. What is left
         * of the bound is enough for a read of the store.
         */
        private const val OWN_READ_PERCENT = 75

        /* Late enough for the news of a check that another router has made. */
        private const val OWN_CHECK_PERCENT = 80
        private const val PERCENT = 100
    }
}
