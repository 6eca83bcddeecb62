package org.quetzalloom.core.relay.era

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.feed.FeedsState
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.rollout.withUnconfirmedPhases
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the transition that takes what [event] tells of the era of the store. All offsets become void in a new era:
 * each feed is read again from a snapshot, and other routers are answered from what is read then.
 */
internal fun RelayState.followEra(event: RelayEvent, now: Timestamp): RelayStep {
    val era = event.era()
    val entered = when {
        era <= storeEra.number -> unchanged()
        storeEra.number == 0L -> copy(storeEra = storeEra.copy(number = era)).reportEra(storeEra.number, now)
        else -> enterEra(era, event, now)
    }
    return entered.then { it.confirmOrders(event) }
}

private fun RelayEvent.era(): Long = when (this) {
    is RelayEvent.FeedRead -> era
    is RelayEvent.FeedFailed -> era
    is RelayEvent.GroupJoined -> era
    is RelayEvent.FeedAsked -> era
    else -> 0
}

private fun RelayState.enterEra(era: Long, event: RelayEvent, now: Timestamp): RelayStep {
    val next = StoreEraState(
        number = era,
        enteredAt = now,
        lastReads = feeds.cursors.mapValues { (_, cursor) -> cursor.number }.toPersistentMap(),
        unconfirmedZones = servers.evacuatedZones.keys.toPersistentSet(),
        unconfirmedServices = rollouts.byService.keys.toPersistentSet(),
    )
    // The other reads that are under way are given up, as the store may hold them back or answer from void offsets.
    val cursors = feeds.cursors.mapValues { (feed, cursor) ->
        val isEnding = cursor.reading && feeds.isResult(event, feed)
        cursor.copy(nextOffset = null, reading = isEnding, dueAt = minOf(cursor.dueAt, now))
    }.toPersistentMap()
    return reportEra(storeEra.number, now, era).then {
        it.copy(
            storeEra = next,
            feeds = feeds.copy(cursors = cursors),
            readers = readers.copy(buffers = persistentMapOf()),
            // The copy may lack entries of servers that are alive, as the list does after an outage.
            servers = servers.copy(listFailedAt = now),
            rollouts = rollouts.withUnconfirmedPhases(),
        ).unchanged()
    }
}

/** Returns whether [event] is the result of the last read of [feed]. */
private fun FeedsState.isResult(event: RelayEvent, feed: Feed): Boolean = when (event) {
    is RelayEvent.FeedRead -> event.feed == feed && of(feed).expects(event)
    is RelayEvent.FeedFailed -> event.feed == feed && of(feed).expects(event)
    else -> false
}

private fun RelayState.reportEra(previous: Long, now: Timestamp, era: Long = storeEra.number): RelayStep = report(
    now,
    "store_era",
    "era" to era,
    "previous" to previous,
    "orders_offset" to feeds.of(Feed.ORDERS).nextOffset,
    "servers_offset" to feeds.of(Feed.SERVERS).nextOffset,
)

private fun RelayState.confirmOrders(event: RelayEvent): RelayStep = when {
    event !is RelayEvent.FeedRead || event.feed != Feed.ORDERS || staleFailureOrNull(event) != null -> unchanged()
    else -> copy(storeEra = storeEra.confirm(event.entries)).unchanged()
}

/**
 * Returns [event], or a failure in its place if it is the result of a read that tells nothing of the present era. A
 * snapshot of orders is taken to have the evacuations and roll-outs that it lacks only because they have not been
 * written again.
 */
internal fun RelayState.withoutOldEra(event: RelayEvent, now: Timestamp): RelayEvent =
    if (event is RelayEvent.FeedRead) staleFailureOrNull(event) ?: withLostOrders(checked(event), now) else event

/**
 * Returns [read], or, for a snapshot of a reader of an earlier version, which may be of a later era than this router
 * knows, an answer that sends it to the store.
 */
private fun RelayState.checked(read: RelayEvent.FeedRead): RelayEvent.FeedRead {
    val known = feeds.of(read.feed).nextOffset
    val isUnchecked = read.throughReader && read.snapshot && read.era == 0L && storeEra.number > 0
    if (known == null || !isUnchecked) return read
    return read.copy(
        entries = persistentListOf(),
        records = persistentListOf(),
        snapshot = false,
        tooLarge = true,
        nextOffset = known,
    )
}

/** Returns the failure that takes the place of [read] if its records are not of the present era. */
private fun RelayState.staleFailureOrNull(read: RelayEvent.FeedRead): RelayEvent.FeedFailed? {
    val tellsNoEra = read.era == 0L && read.throughReader && storeEra.enteredAt != null
    val lastRead = storeEra.lastReads[read.feed] ?: 0
    val isFromVoidOffset = !read.snapshot && !read.tooLarge && (read.number ?: feeds.of(read.feed).number) <= lastRead
    val detail = when {
        tellsNoEra -> "the reader does not tell the era of the store"
        read.era in 1 until storeEra.number -> "the result is of era ${read.era}, before ${storeEra.number}"
        storeEra.enteredAt != null && isFromVoidOffset -> "the offset is of an era before ${storeEra.number}"
        else -> return null
    }
    // The next read asks for a snapshot, and tells the reader of the era.
    val problem = if (tellsNoEra) FeedProblem.UNAVAILABLE else FeedProblem.EXPIRED
    return RelayEvent.FeedFailed(read.feed, problem, detail, read.throughReader, read.number, read.era)
}
