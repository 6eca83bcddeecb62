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
)

/** Reports that [feed] is read from the store without any other router. */
internal fun RelayState.reportOwnRead(feed: Feed, now: Timestamp): RelayStep = report(
    now,
    "feed_read_alone",
    "feed" to feed,
    "age_ms" to feedAge(feed, now),
    "reader" to feeds.of(feed).reader,
    "read_sent_ms_ago" to now - feeds.of(feed).sentAt,
    "unanswered" to feeds.of(feed).unanswered,
    "detour" to storePath.viaRouter,
)

/** Reports the first failure of reads of a feed. */
internal fun RelayState.reportLost(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep = report(
    now,
    "feed_lost",
    "feed" to event.feed,
    "problem" to event.problem,
    "detail" to event.detail,
    "through_reader" to event.throughReader,
    "last_read_ms_ago" to feeds.of(event.feed).readAt?.let { now - it },
)

/** Reports a record of [feed] that can't be decoded. */
internal fun RelayState.reportUnreadable(feed: Feed, entry: FeedEntry.Unreadable, now: Timestamp): RelayStep =
    report(now, "record_skipped", "feed" to feed, "key" to entry.key, "problem" to entry.problem)
