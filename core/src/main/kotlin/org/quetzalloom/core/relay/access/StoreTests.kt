package org.quetzalloom.core.relay.access

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.time.Timestamp

/** The number of routers that test the store in each round. */
private const val ROUTERS_PER_ROUND = 4

/** The time between two tests of a round, in which the others learn that the first one has succeeded. */
private const val TEST_INTERVAL_MILLISECONDS = 20L

/**
 * Returns whether this router is to test at [now] whether it reaches the store, by a renewal of its membership.
 *
 * Routers test the store if the acting reader has failed and what they know grows old: the store may be down, or the
 * readers may be cut off from it while others are not. In each round a few routers beyond the acting reader and its
 * standby make one call each, in the order of readers; when a round begins, the records are twice as old as at the
 * beginning of the one before. So an outage adds few calls, however many routers there are. The age of the records is
 * inherited from the readers, so that it is about the same everywhere.
 */
internal fun RelayState.isStoreTestDue(now: Timestamp): Boolean {
    val testers = members.readerOrder.drop(MAXIMUM_OLD_READERS)
    val position = testers.indexOf(settings.vm)
    val readAt = oldestReadAtOrNull()
    if (readAt == null || position < 0 || !mayTestStore(now)) return false
    val ages = (now - readAt) / settings.storeTestAgeMilliseconds
    val round = Long.SIZE_BITS - 1 - ages.countLeadingZeroBits()
    val turn = Math.floorMod(position - round * ROUTERS_PER_ROUND, testers.size)
    val turnAt = readAt + (settings.storeTestAgeMilliseconds shl round) + turn * TEST_INTERVAL_MILLISECONDS
    return turn < ROUTERS_PER_ROUND && now >= turnAt && feeds.store.testedAt < turnAt
}

private fun RelayState.mayTestStore(now: Timestamp): Boolean =
    needsStoreTest(now) && members.readerOrder.firstOrNull()?.let { suspicionOrNull(it, now) } != null

/** Returns whether no reader has given recent records for so long that routers test the store. */
internal fun RelayState.needsStoreTest(now: Timestamp): Boolean =
    oldestReadAtOrNull()?.let { now - it >= settings.storeTestAgeMilliseconds } ?: false

/** Returns whether the records of [feed] are older at [now] than those that a reader passes on as recent. */
internal fun RelayState.hasOldRecords(feed: Feed, now: Timestamp): Boolean =
    feedAge(feed, now)?.let { it > settings.maximumAge(feed) } ?: false

private fun RelayState.oldestReadAtOrNull(): Timestamp? =
    feeds.cursors.filterKeys { it.continuous }.values.mapNotNull { it.readAt }.minOrNull()
