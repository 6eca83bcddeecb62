package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.time.Timestamp

/** Reports that the store has answered a check. */
internal fun RelayState.reportCheckPassed(now: Timestamp): RelayStep = report(
    now,
    "store_check_passed",
    "orders_read_ms_ago" to feedAge(Feed.ORDERS, now),
    "servers_read_ms_ago" to feedAge(Feed.SERVERS, now),
    "detour" to storePath.viaRouter,
)

/** Reports that [feed] is read from the store without any other router. */
internal fun RelayState.reportOwnRead(feed: Feed, now: Timestamp): RelayStep = report(
    now,
    "feed_read_alone",
    "feed" to feed,
    "age_ms" to feedAge(feed, now),
    "reading" to feeds.of(feed).reading,
    "read_sent_ms_ago" to now - feeds.of(feed).sentAt,
    "reader" to feeds.of(feed).reader,
    "unanswered" to feeds.of(feed).unanswered,
    "detour" to storePath.viaRouter,
)

/** Reports that the newest records of [feed] are read in place of a read that the store seems to hold. */
internal fun RelayState.reportHeldRead(feed: Feed, now: Timestamp): RelayStep = report(
    now,
    "feed_read_held",
    "feed" to feed,
    "age_ms" to feedAge(feed, now),
    "read_sent_ms_ago" to now - feeds.of(feed).sentAt,
    "wait_ms" to feeds.of(feed).waitMilliseconds,
    "store_delay_ms" to feeds.store.delayMilliseconds,
    "detour" to storePath.viaRouter,
)

/** Reports that what is known of [feed] has become too old, with everything that decides about its next read. */
internal fun RelayState.reportStale(feed: Feed, now: Timestamp): RelayStep {
    val cursor = feeds.of(feed)
    return report(
        now,
        "feed_stale",
        "feed" to feed,
        "age_ms" to feedAge(feed, now),
        "reading" to cursor.reading,
        "read_sent_ms_ago" to now - cursor.sentAt,
        "reader" to cursor.reader,
        "detour" to storePath.viaRouter.takeIf { cursor.reader == null },
        "failures" to cursor.failures,
        "store_failures" to feeds.store.failures,
        "store_due_in_ms" to storeDueIn(feed, now),
        "too_large" to cursor.readStore,
    )
}

/** Reports the first failure of reads of a feed. */
internal fun RelayState.reportLost(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep {
    val cursor = feeds.of(event.feed)
    return report(
        now,
        "feed_lost",
        "feed" to event.feed,
        "problem" to event.problem,
        "last_read_ms_ago" to feedAge(event.feed, now),
        "read_sent_ms_ago" to now - cursor.sentAt,
        "wait_ms" to cursor.waitMilliseconds,
        "reader" to cursor.reader,
        "store_failures" to feeds.store.failures,
        "store_due_in_ms" to storeDueIn(event.feed, now),
        "through_reader" to event.throughReader,
        "detail" to event.detail,
    )
}

/** Reports that [feed] has been read again, after [failures] reads that failed. */
internal fun RelayState.reportRegained(feed: Feed, failures: Int, now: Timestamp): RelayStep = report(
    now,
    "feed_regained",
    "feed" to feed,
    "age_ms" to feedAge(feed, now),
    "reader" to feeds.of(feed).reader,
    "failures" to failures,
)

/** Reports a record of [feed] that can't be decoded. */
internal fun RelayState.reportUnreadable(feed: Feed, entry: FeedEntry.Unreadable, now: Timestamp): RelayStep =
    report(now, "record_skipped", "feed" to feed, "key" to entry.key, "problem" to entry.problem)

/** Returns the time until [feed] may be read from the store, in milliseconds. */
private fun RelayState.storeDueIn(feed: Feed, now: Timestamp): Long =
    (maxOf(feeds.of(feed).storeDueAt, feeds.store.probeAt) - now).coerceAtLeast(0)
