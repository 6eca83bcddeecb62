package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.access.endDetour
import org.quetzalloom.core.relay.access.hasOldRecords
import org.quetzalloom.core.relay.access.isReadHeld
import org.quetzalloom.core.relay.access.needsStoreCheck
import org.quetzalloom.core.relay.access.provenReaderOrNull
import org.quetzalloom.core.relay.access.readerWait
import org.quetzalloom.core.relay.access.storeWait
import org.quetzalloom.core.relay.peer.sendBeaconToAll
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Decides when each feed is read, and from which offset.
 *
 * At most one read of each feed is under way at a time. A feed whose records have expired is read again from a
 * snapshot. The status feed is read only while a roll-out is in progress, or while another router asks for it. Reads go
 * through the router that [readerOrNull] names.
 */
internal object FeedsPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        RelayEvent.Tick -> state.unchanged().thenEach(Feed.entries) { current, feed -> current.readIfDue(feed, now) }
        is RelayEvent.FeedRead -> state.feedRead(event, now)
        is RelayEvent.FeedFailed -> state.feedFailed(event, now)
        is RelayEvent.GroupJoined -> state.groupJoined(event, now)
        else -> state.unchanged()
    }

    /** While the records of all readers are old, the feeds are read without asking them once the store answers. */
    private fun RelayState.groupJoined(event: RelayEvent.GroupJoined, now: Timestamp): RelayStep {
        val isCheck = event.sentAt == feeds.store.checkedAt
        val passedCheck = needsStoreCheck(now) && (isCheck || provenReaderOrNull(now) == null)
        val unread = if (passedCheck) Feed.entries.filter { it.continuous && !feeds.of(it).readsStore } else emptyList()
        return copy(feeds = feeds.storeAnswered(now).withDelay(now - event.sentAt)).unchanged()
            .then { if (passedCheck) it.reportCheckPassed(now) else it.unchanged() }
            .thenEach(unread) { current, feed -> current.read(feed, reader = null, now) }
    }

    private fun RelayState.readIfDue(feed: Feed, now: Timestamp): RelayStep =
        if (isReadDue(feed, now)) {
            val reader = readerOrNull(feed, now)
            val isOwnRead = isOwnReadDue(feed, now)
            val isOverdueOnDetour = isOwnRead && feeds.of(feed).readsStore
            unchanged()
                .then { if (isOwnRead) it.reportOwnRead(feed, now) else it.unchanged() }
                .then { if (isReadHeld(feed, now)) it.reportHeldRead(feed, now) else it.unchanged() }
                .then { if (isOverdueOnDetour) it.endDetour(now) else it.unchanged() }
                .then { it.read(feed, reader, now) }
        } else {
            unchanged()
        }

    /** Reads [feed] through [reader], or from the store if it is `null`. */
    private fun RelayState.read(feed: Feed, reader: VmId?, now: Timestamp): RelayStep {
        val cursor = feeds.of(feed)
        val wait = when {
            reader != null -> readerWait(feed, now)
            feeds.store.isAway || isReadHeld(feed, now) -> 0
            else -> storeWait(feed, now)
        }
        val from = cursor.nextOffset.takeUnless { reader == null && (feeds.store.isAway || isReadHeld(feed, now)) }
        val next = cursor.copy(
            reading = true,
            readsNewest = from == null,
            sentAt = now,
            waitMilliseconds = wait,
            reader = reader,
            number = cursor.number + 1,
            unanswered = cursor.unanswered + 1,
        )
        return copy(feeds = feeds.with(feed, next)).with(
            RelayEffect.ReadFeed(
                feed = feed,
                from = from,
                waitMilliseconds = wait,
                reader = reader?.let { members.addresses[it] },
                readerTimeoutMilliseconds = wait + settings.readerTimeoutMilliseconds,
                number = next.number,
                era = storeEra.number,
            ),
        )
    }

    private fun RelayState.feedRead(event: RelayEvent.FeedRead, now: Timestamp): RelayStep {
        val cursor = feeds.of(event.feed)
        if (!cursor.expects(event)) {
            return copy(feeds = feeds.with(event.feed, cursor.afterGivenUpRead(event))).unchanged()
        }
        val nextOffset = maxOf(cursor.nextOffset ?: 0, event.nextOffset)
        return if (event.tooLarge) {
            copy(
                feeds = feeds.with(event.feed, cursor.copy(reading = false, readStore = true, dueAt = now))
            ).unchanged()
        } else {
            advance(cursor, event, nextOffset, now)
        }
    }

    private fun RelayState.advance(
        cursor: FeedCursor,
        event: RelayEvent.FeedRead,
        nextOffset: Long,
        now: Timestamp,
    ): RelayStep {
        val next = FeedCursor(
            nextOffset = nextOffset,
            dueAt = cursor.nextReadAt(event, settings, now),
            readAt = maxOf(cursor.readAt ?: Timestamp.EPOCH, cursor.stateTime(event, now)),
            reader = cursor.reader,
            number = cursor.number,
            storeDueAt = cursor.storeDueAt,
        )
        val unreadable = event.entries.filterIsInstance<FeedEntry.Unreadable>()
        val answered = if (event.throughReader) feeds else feeds.storeRead(event, now)
        // A router that reads the store only for large records has been told of them by the reader, as have all others.
        val tellsOthers = !event.throughReader && !cursor.readStore && hasOldRecords(event.feed, now)
        return copy(feeds = answered.with(event.feed, next)).unchanged()
            .then { if (tellsOthers) it.sendBeaconToAll(now) else it.unchanged() }
            .then {
                if (cursor.failures == 0) it.unchanged() else it.reportRegained(event.feed, cursor.failures, now)
            }
            .thenEach(unreadable) { current, entry -> current.reportUnreadable(event.feed, entry, now) }
    }

    private fun RelayState.feedFailed(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep {
        val cursor = feeds.of(event.feed)
        if (!cursor.expects(event)) return unchanged()
        val storePause = event.pause(cursor.storeFailures)
        val next = cursor.copy(
            reading = false,
            nextOffset = cursor.nextOffset.takeUnless { event.problem == FeedProblem.EXPIRED },
            dueAt = now + if (event.throughReader) event.pause(cursor.failures) else 0,
            failures = cursor.failures + 1,
            storeDueAt = if (event.throughReader) cursor.storeDueAt else cursor.sentAt + storePause,
            storeFailures = cursor.storeFailures + if (event.throughReader) 0 else 1,
        )
        return copy(feeds = feeds.readFailed(event, now).with(event.feed, next)).unchanged().then {
            if (cursor.failures == 0) it.reportLost(event, now) else it.unchanged()
        }
    }
}
