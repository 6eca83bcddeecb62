package org.quetzalloom.core.relay.access

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.time.Timestamp

/** The number of routers that check the store in each round. */
private const val ROUTERS_PER_ROUND = 4

/** The time between two checks of a round, in which the others learn that the first one has succeeded. */
private const val CHECK_INTERVAL_MILLISECONDS = 20L

/**
 * Returns whether this router is to check at [now] whether it reaches the store, by a renewal of its membership.
 *
 * Routers check the store if the acting reader has failed and what they know grows old: the store may be down, or the
 * readers may be cut off from it while others are not. In each round a few routers beyond the acting reader and its
 * standby make one call each, in the order of readers; when a round begins, the records are twice as old as at the
 * beginning of the one before. So an outage adds few calls, however many routers there are. The age of the records is
 * inherited from the readers, so that it is about the same everywhere.
 *
 * Besides, each router makes one check when its records come near the bound: none of those that made a check before may
 * reach the store, or reach this router.
 */
internal fun RelayState.isStoreCheckDue(now: Timestamp): Boolean = isRoundCheckDue(now) || isOwnCheckDue(now)

private fun RelayState.isOwnCheckDue(now: Timestamp): Boolean {
    val readAt = oldestReadAtOrNull()
    return readAt != null && mayCheckStore(now) && now >= readAt + settings.ownCheckAgeMilliseconds &&
        feeds.store.checkedAt < readAt + settings.storeCheckAgeMilliseconds
}

private fun RelayState.isRoundCheckDue(now: Timestamp): Boolean {
    val checkers = members.readerOrder.drop(MAXIMUM_OLD_READERS)
    val position = checkers.indexOf(settings.vm)
    val readAt = oldestReadAtOrNull()
    if (readAt == null || position < 0 || !mayCheckStore(now)) return false
    val ages = (now - readAt) / settings.storeCheckAgeMilliseconds
    val round = Long.SIZE_BITS - 1 - ages.countLeadingZeroBits()
    val turn = Math.floorMod(position - round * ROUTERS_PER_ROUND, checkers.size)
    val turnAt = readAt + (settings.storeCheckAgeMilliseconds shl round) + turn * CHECK_INTERVAL_MILLISECONDS
    return turn < ROUTERS_PER_ROUND && now >= turnAt && feeds.store.checkedAt < turnAt
}

private fun RelayState.mayCheckStore(now: Timestamp): Boolean =
    needsStoreCheck(now) && members.readerOrder.firstOrNull()?.let { suspicionOrNull(it, now) } != null

/** Returns whether no reader has given recent records for so long that routers check the store. */
internal fun RelayState.needsStoreCheck(now: Timestamp): Boolean =
    oldestReadAtOrNull()?.let { now - it >= settings.storeCheckAgeMilliseconds } ?: false

/** Returns whether the records of [feed] are older at [now] than those that a reader passes on as recent. */
internal fun RelayState.hasOldRecords(feed: Feed, now: Timestamp): Boolean =
    feedAge(feed, now)?.let { it > settings.maximumAge(feed) } ?: false

private fun RelayState.oldestReadAtOrNull(): Timestamp? =
    feeds.cursors.filterKeys { it.continuous }.values.mapNotNull { it.readAt }.minOrNull()
