package org.quetzalloom.core.relay.era

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.time.Timestamp

/** For this time after the store has come back from an older copy, operators may not have written all orders again. */
private const val REWRITE_MILLISECONDS = 10_000L

/**
 * Returns [read] with the evacuations and roll-outs of the era before that it lacks, if it is a snapshot of orders.
 * They last until a record ends them: the copy from which the store has come back may be older than they are.
 */
internal fun RelayState.withLostOrders(read: RelayEvent.FeedRead, now: Timestamp): RelayEvent.FeedRead {
    val isRecent = storeEra.enteredAt?.let { now - it <= REWRITE_MILLISECONDS } ?: false
    if (!isRecent || !read.snapshot || read.feed != Feed.ORDERS) return read
    val zones = storeEra.unconfirmedZones.filter { it in servers.evacuatedZones }
    val orders = storeEra.unconfirmedServices.mapNotNull { rollouts.byService[it]?.order }
    val lost = zones.map { FeedEntry.Evacuation(it, active = true) } + orders.map { FeedEntry.Rollout(it) }
    return if (lost.isEmpty()) read else read.copy(entries = read.entries + lost)
}
