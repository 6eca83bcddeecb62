package org.quetzalloom.core.relay.access

import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Decides which routers are used as readers: one that does not answer, or whose records are too old, is left out for a
 * while. A router whose own reads of the store fail leaves itself out.
 */
internal object ReadersPart : RelayPart {
    /** How long a router that did not answer is left out. Pauses and outages of a router last for seconds. */
    private const val SILENT_MILLISECONDS = 10_000L

    /** How long a router with old records is left out, unless all others have old records too. */
    private const val OLD_MILLISECONDS = 15_000L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.FeedRead -> state.feedRead(event, now)
        is RelayEvent.FeedFailed -> state.feedFailed(event, now)
        else -> state.unchanged()
    }

    private fun RelayState.feedRead(event: RelayEvent.FeedRead, now: Timestamp): RelayStep {
        val cursor = feeds.of(event.feed)
        val failedAt = event.storeFailedMillisecondsAgo?.let { now + -it }
        val noted = if (failedAt == null) this else noteStoreFailure(event.feed, failedAt)
        val source = if (event.throughReader) cursor.reader else settings.vm
        val isOld = event.ageMilliseconds > settings.maximumAge(event.feed)
        return when {
            source == null || !cursor.expects(event) -> noted.unchanged()
            isOld -> noted.suspect(source, oldRecords(event.feed, now), event.ageText(), now)
            // Others leave this router out for a while too, and one reader is enough.
            readers.suspicions[source]?.feed != event.feed || source == settings.vm -> noted.unchanged()
            else -> noted.copy(readers = noted.readers.copy(suspicions = noted.readers.suspicions.remove(source)))
                .unchanged()
        }
    }

    private fun RelayState.feedFailed(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep {
        val cursor = feeds.of(event.feed)
        val reader = cursor.reader
        return when {
            event.problem != FeedProblem.UNAVAILABLE || !cursor.expects(event) -> unchanged()
            reader != null -> suspect(reader, silence(event.feed, now), event.detail, now)
            // A single failure may be a lost response.
            cursor.storeFailures == 0 -> noteStoreFailure(event.feed, now).unchanged()
            else -> noteStoreFailure(event.feed, now)
                .suspect(settings.vm, oldRecords(event.feed, now), event.detail, now)
        }
    }

    private fun RelayState.noteStoreFailure(
        feed: Feed,
        at: Timestamp,
    ): RelayState = copy(readers = readers.copy(failedAt = readers.failedAt.put(feed, at)))

    private fun RelayEvent.FeedRead.ageText(): String = "records of $ageMilliseconds ms ago"

    private fun oldRecords(feed: Feed, now: Timestamp): Suspicion =
        Suspicion(feed, answers = true, until = now + OLD_MILLISECONDS)

    private fun silence(feed: Feed, now: Timestamp): Suspicion =
        Suspicion(feed, answers = false, until = now + SILENT_MILLISECONDS)

    private fun RelayState.suspect(vm: VmId, suspicion: Suspicion, reason: String, now: Timestamp): RelayStep {
        val next = copy(readers = readers.copy(suspicions = readers.suspicions.put(vm, suspicion)))
        val known = suspicionOrNull(vm, now) != null
        return if (known) next.unchanged() else next.report(now, "reader_left_out", "reader" to vm, "reason" to reason)
    }
}

/**
 * Returns [event], or what takes its place if it is the result of a read that knows less than this router: a failure
 * for the answer of a reader, as it may be older than what is known; for a read of the store that was overtaken by the
 * late answer of a reader, the same result without records.
 */
internal fun RelayState.withoutOldNews(event: RelayEvent, now: Timestamp): RelayEvent {
    // An answer without records, as they are too large, has no offset of its own.
    val read = (event as? RelayEvent.FeedRead)?.takeUnless { it.tooLarge } ?: return event
    return if (read.throughReader) withoutOldAnswer(read) else withoutOvertakenRecords(read, now)
}

private fun RelayState.withoutOldAnswer(read: RelayEvent.FeedRead): RelayEvent {
    // What has been read is known from the buffer, too, after the records at the offset have expired.
    val known = feeds.of(read.feed).nextOffset ?: readers.buffers[read.feed]?.end
    if (known == null || read.nextOffset >= known) return read
    val detail = "the reader is at ${read.nextOffset}, before $known"
    return RelayEvent.FeedFailed(read.feed, FeedProblem.UNAVAILABLE, detail, throughReader = true, read.number)
}

private fun RelayState.withoutOvertakenRecords(read: RelayEvent.FeedRead, now: Timestamp): RelayEvent {
    val cursor = feeds.of(read.feed)
    val known = cursor.nextOffset
    if (known == null || read.nextOffset >= known) return read
    val endOfWait = minOf(now, cursor.sentAt + cursor.waitMilliseconds)
    return read.copy(
        // Without records, it would tell the state as of the end of its wait.
        ageMilliseconds = (endOfWait - cursor.stateTime(read, now)).coerceAtLeast(0),
        entries = persistentListOf(),
        records = persistentListOf(),
        snapshot = false,
        nextOffset = known,
    )
}
