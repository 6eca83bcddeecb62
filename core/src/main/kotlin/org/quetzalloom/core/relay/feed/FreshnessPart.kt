package org.quetzalloom.core.relay.feed

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Logs when what this router knows of a feed has become too old, with everything that decides about its next read, and
 * when it is recent again. Covers the feeds that are read all the time.
 */
internal object FreshnessPart : RelayPart {
    private val CONTINUOUS_FEEDS = Feed.entries.filter { it.continuous }.toPersistentList()

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        RelayEvent.Tick -> state.unchanged().thenEach(CONTINUOUS_FEEDS) { current, feed -> current.check(feed, now) }
        else -> state.unchanged()
    }

    private fun RelayState.check(feed: Feed, now: Timestamp): RelayStep {
        val stale = feedAge(feed, now)?.let { it > settings.changeBoundMilliseconds } ?: false
        return when {
            stale == feed in feeds.staleSince -> unchanged()
            stale -> copy(feeds = feeds.copy(staleSince = feeds.staleSince.put(feed, now))).reportStale(feed, now)
            else -> copy(feeds = feeds.copy(staleSince = feeds.staleSince.remove(feed)))
                .report(now, "feed_recent", "feed" to feed, "stale_ms" to feeds.staleSince[feed]?.let { now - it })
        }
    }
}
