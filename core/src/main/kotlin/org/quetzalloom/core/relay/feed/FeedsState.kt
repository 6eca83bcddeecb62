package org.quetzalloom.core.relay.feed

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap

/** The cursor of each feed. */
internal data class FeedsState(
    val cursors: PersistentMap<Feed, FeedCursor> = Feed.entries.associateWith { FeedCursor() }.toPersistentMap(),
) {
    /** Returns the cursor of [feed]. */
    fun of(feed: Feed): FeedCursor = cursors[feed] ?: FeedCursor()

    /** Returns the state with [cursor] for [feed]. */
    fun with(feed: Feed, cursor: FeedCursor): FeedsState = copy(cursors = cursors.put(feed, cursor))
}
