package org.quetzalloom.core.relay.feed

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.time.Timestamp

/**
 * What this router knows of the feeds.
 *
 * @property cursors the cursor of each feed.
 * @property store whether the store answers this router.
 * @property staleSince the feeds of which too little has been read lately, and since when.
 */
internal data class FeedsState(
    val cursors: PersistentMap<Feed, FeedCursor> = Feed.entries.associateWith { FeedCursor() }.toPersistentMap(),
    val store: StoreAccess = StoreAccess(),
    val staleSince: PersistentMap<Feed, Timestamp> = persistentMapOf(),
) {
    /** Returns the cursor of [feed]. */
    fun of(feed: Feed): FeedCursor = cursors[feed] ?: FeedCursor()

    /** Returns the state after the store has answered a call at [now], after which all feeds may read it. */
    fun storeAnswered(now: Timestamp): FeedsState {
        val pausing = cursors.filterValues { it.storeDueAt > now }
        return when {
            pausing.isEmpty() && store.failures == 0 -> this
            pausing.isEmpty() -> copy(store = store.answered())
            else -> copy(
                cursors = cursors.putAll(pausing.mapValues { (_, cursor) -> cursor.copy(storeDueAt = now) }),
                store = store.answered(),
            )
        }
    }

    /** Returns the state after [event], the result of a read of the store, has arrived at [now]. */
    fun storeRead(event: RelayEvent.FeedRead, now: Timestamp): FeedsState {
        val delay = of(event.feed).delayOrNull(event, now) ?: store.delayMilliseconds
        return storeAnswered(now).let { it.copy(store = it.store.copy(readAt = now)) }.withDelay(delay)
    }

    /** Returns the state after the store has taken [milliseconds] to answer a call. */
    fun withDelay(milliseconds: Long): FeedsState = copy(store = store.copy(delayMilliseconds = milliseconds))

    /** Returns what is known of the store after the read of [event] has failed at [now]. */
    fun readFailed(event: RelayEvent.FeedFailed, now: Timestamp): FeedsState = when {
        event.throughReader -> this
        event.problem == FeedProblem.EXPIRED -> storeAnswered(now)
        else -> copy(store = store.failed(of(event.feed).sentAt, now))
    }

    /** Returns the state with [cursor] for [feed]. */
    fun with(feed: Feed, cursor: FeedCursor): FeedsState = copy(cursors = cursors.put(feed, cursor))
}
