package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.access.readerAddressOrNull
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Decides when each feed is read, and from which offset.
 *
 * At most one read of each feed is under way at a time. A feed whose records have expired is read again from a
 * snapshot. The status feed is read only while a roll-out is in progress.
 */
internal object FeedsPart : RelayPart {
    /** The backoff after the first failed read; it doubles with each further one. */
    private const val FIRST_BACKOFF_MILLISECONDS = 100L

    /**
     * The maximum backoff, short enough to read the list of servers well within a second once the store answers again.
     */
    private const val MAXIMUM_BACKOFF_MILLISECONDS = 500L

    /**
     * How long a read through another router waits for a record. If that router stands still, this and the timeout of
     * the call pass before the store is asked directly, which must leave time to stop using a server that drains.
     */
    private const val READER_WAIT_MILLISECONDS = 1_000L

    /** The pause between reads through another router, in which records that follow each other are collected. */
    private const val READER_PAUSE_MILLISECONDS = 20L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        RelayEvent.Tick -> state.unchanged().thenEach(Feed.entries) { current, feed -> current.readIfDue(feed, now) }
        is RelayEvent.FeedRead -> state.feedRead(event, now)
        is RelayEvent.FeedFailed -> state.feedFailed(event, now)
        else -> state.unchanged()
    }

    private fun RelayState.readIfDue(feed: Feed, now: Timestamp): RelayStep {
        val cursor = feeds.of(feed)
        val wanted = feed != Feed.STATUS || rollouts.active.isNotEmpty()
        if (cursor.reading || now < cursor.dueAt || !wanted) return unchanged()
        val reader = readerAddressOrNull(now)?.takeIf { cursor.nextOffset != null }
        val wait = if (reader == null) settings.readWait(feed) else READER_WAIT_MILLISECONDS
        return copy(feeds = feeds.with(feed, cursor.copy(reading = true)))
            .with(RelayEffect.ReadFeed(feed, cursor.nextOffset, wait, reader))
    }

    private fun RelayState.feedRead(event: RelayEvent.FeedRead, now: Timestamp): RelayStep {
        val cursor = feeds.of(event.feed)
        val next = FeedCursor(
            nextOffset = event.nextOffset,
            dueAt = now + if (event.throughReader) READER_PAUSE_MILLISECONDS else settings.readInterval(event.feed),
            readAt = now,
        )
        val unreadable = event.entries.filterIsInstance<FeedEntry.Unreadable>()
        return copy(feeds = feeds.with(event.feed, next)).unchanged()
            .then { if (cursor.failures > 0) it.reportRegained(event.feed, cursor, now) else it.unchanged() }
            .thenEach(unreadable) { current, entry -> current.reportUnreadable(event.feed, entry, now) }
    }

    private fun RelayState.feedFailed(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep {
        val cursor = feeds.of(event.feed)
        val backoff = if (event.problem == FeedProblem.EXPIRED) 0 else backoffAfter(cursor.failures)
        val next = cursor.copy(
            reading = false,
            nextOffset = cursor.nextOffset.takeUnless { event.problem == FeedProblem.EXPIRED },
            dueAt = now + backoff,
            failures = cursor.failures + 1,
        )
        return copy(feeds = feeds.with(event.feed, next)).unchanged().then {
            if (cursor.failures == 0) it.reportLost(event, now) else it.unchanged()
        }
    }

    private fun backoffAfter(failures: Int): Long =
        (FIRST_BACKOFF_MILLISECONDS shl failures.coerceAtMost(Byte.SIZE_BITS))
            .coerceAtMost(MAXIMUM_BACKOFF_MILLISECONDS)

    private fun RelayState.reportLost(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep = report(
        now,
        "feed_lost",
        "feed" to event.feed,
        "problem" to event.problem,
        "detail" to event.detail,
        "through_reader" to event.throughReader,
        "last_read_ms_ago" to feeds.of(event.feed).readAt?.let { now - it },
    )

    private fun RelayState.reportRegained(feed: Feed, cursor: FeedCursor, now: Timestamp): RelayStep =
        report(now, "feed_regained", "feed" to feed, "failures" to cursor.failures)

    private fun RelayState.reportUnreadable(feed: Feed, entry: FeedEntry.Unreadable, now: Timestamp): RelayStep =
        report(now, "record_skipped", "feed" to feed, "key" to entry.key, "problem" to entry.problem)
}
