package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Decides when each feed is read, and from where.
 *
 * One read of a feed is under way at a time. A feed whose records have expired starts again from a snapshot.
 */
internal object FeedsPart : RelayPart {
    /** The first pause after a failed read; it doubles up to [LONGEST_PAUSE_MILLISECONDS]. */
    private const val FIRST_PAUSE_MILLISECONDS = 100L

    /** Short enough to read the list again well within a second of the store's return. */
    private const val LONGEST_PAUSE_MILLISECONDS = 500L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        RelayEvent.Tick -> state.unchanged().thenEach(Feed.entries) { reached, feed -> reached.readIfDue(feed, now) }
        is RelayEvent.FeedRead -> state.read(event, now)
        is RelayEvent.FeedFailed -> state.failed(event, now)
        else -> state.unchanged()
    }

    private fun RelayState.readIfDue(feed: Feed, now: Timestamp): RelayStep {
        val cursor = feeds.of(feed)
        val wanted = feed != Feed.STATUS || rollouts.active.isNotEmpty()
        if (cursor.reading || now < cursor.dueAt || !wanted) return unchanged()
        return copy(feeds = feeds.with(feed, cursor.copy(reading = true)))
            .with(RelayEffect.ReadFeed(feed, from = cursor.next, waitMilliseconds = settings.readWait(feed)))
    }

    private fun RelayState.read(event: RelayEvent.FeedRead, now: Timestamp): RelayStep {
        val cursor = feeds.of(event.feed)
        val next = FeedCursor(next = event.next, dueAt = now + settings.readInterval(event.feed), readAt = now)
        val unreadable = event.entries.filterIsInstance<FeedEntry.Unreadable>()
        return copy(feeds = feeds.with(event.feed, next)).unchanged()
            .then { if (cursor.failures > 0) it.reportRegained(event.feed, cursor, now) else it.unchanged() }
            .thenEach(unreadable) { reached, entry -> reached.reportUnreadable(event.feed, entry, now) }
    }

    private fun RelayState.failed(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep {
        val cursor = feeds.of(event.feed)
        val pause = if (event.problem == FeedProblem.EXPIRED) 0 else pauseAfter(cursor.failures)
        val next = cursor.copy(
            reading = false,
            next = cursor.next.takeUnless { event.problem == FeedProblem.EXPIRED },
            dueAt = now + pause,
            failures = cursor.failures + 1,
        )
        return copy(feeds = feeds.with(event.feed, next)).unchanged().then {
            if (cursor.failures == 0) it.reportLost(event, now) else it.unchanged()
        }
    }

    private fun pauseAfter(failures: Int): Long =
        (FIRST_PAUSE_MILLISECONDS shl failures.coerceAtMost(Byte.SIZE_BITS)).coerceAtMost(LONGEST_PAUSE_MILLISECONDS)

    private fun RelayState.reportLost(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep = report(
        now,
        "feed_lost",
        "feed" to event.feed,
        "problem" to event.problem,
        "detail" to event.detail,
        "last_read_ms_ago" to feeds.of(event.feed).readAt?.let { now - it },
    )

    private fun RelayState.reportRegained(feed: Feed, cursor: FeedCursor, now: Timestamp): RelayStep =
        report(now, "feed_regained", "feed" to feed, "failures" to cursor.failures)

    private fun RelayState.reportUnreadable(feed: Feed, entry: FeedEntry.Unreadable, now: Timestamp): RelayStep =
        report(now, "record_skipped", "feed" to feed, "key" to entry.key, "problem" to entry.problem)
}
