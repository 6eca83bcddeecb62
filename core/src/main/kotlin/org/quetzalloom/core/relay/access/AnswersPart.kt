package org.quetzalloom.core.relay.access

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.collection.without
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedAnswer
import org.quetzalloom.core.relay.feed.FeedBuffer
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Answers other routers that read the feeds through this one.
 *
 * Every router keeps what it has read, so that it can answer from any recent offset as soon as it is asked. An answer
 * waits until there is something new, and until the store has been read lately; at the end of its wait it is given
 * with the age of the records.
 */
internal object AnswersPart : RelayPart {
    /** Failures of the store longer ago are not told, as nobody acts on them. */
    private const val TOLD_FAILURE_MILLISECONDS = 10_000L

    /**
     * The maximum size of the records in an answer. Many callers that wait for larger ones would share the link of one
     * VM, while the store has a faster one.
     */
    private const val MAXIMUM_ANSWER_BYTES = 32 * 1_024

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.FeedRead -> state.keep(event).answerWaiting(now)
        is RelayEvent.FeedAsked -> state.feedAsked(event, now)
        RelayEvent.Tick -> state.answerWaiting(now)
        else -> state.unchanged()
    }

    private fun RelayState.keep(event: RelayEvent.FeedRead): RelayState {
        val buffer = readers.buffers[event.feed]
        val next = when {
            !event.snapshot -> buffer?.append(event.records, event.nextOffset)
            buffer == null -> FeedBuffer.of(event.records, event.nextOffset)
            event.nextOffset >= buffer.end -> buffer.advance(event.records, event.nextOffset)
            else -> buffer
        }
        return if (next == null) this else copy(readers = readers.copy(buffers = readers.buffers.put(event.feed, next)))
    }

    private fun RelayState.feedAsked(event: RelayEvent.FeedAsked, now: Timestamp): RelayStep {
        val until = now + event.waitMilliseconds
        val isRecent = isRecent(event.feed, now)
        val call = WaitingCall(event.call, event.feed, event.from, until, beganRecent = isRecent, era = event.era)
        val next = copy(
            readers = readers.copy(
                askedAt = readers.askedAt.put(event.feed, now),
                waiting = readers.waiting.add(call),
            ),
        )
        return next.unchanged()
            .then { if (readers.isAsked(now)) it.unchanged() else it.report(now, "reading_for_others") }
            .then { it.answerWaiting(now) }
    }

    private fun RelayState.answerWaiting(now: Timestamp): RelayStep {
        val due = readers.waiting.filter { isDue(it, now) }
        if (due.isEmpty()) return unchanged()
        return copy(readers = readers.copy(waiting = readers.waiting.without { isDue(it, now) })).unchanged()
            .thenEach(due) { current, call -> current.with(current.answer(call, now)) }
    }

    /** An answer that has waited while the records grew old is given at once, so that the caller can turn elsewhere. */
    private fun RelayState.isDue(call: WaitingCall, now: Timestamp): Boolean = when {
        now >= call.until -> true
        isRecent(call.feed, now) -> readers.buffers[call.feed]?.hasNews(storeEra.offsetOrNull(call)) ?: false
        else -> call.beganRecent
    }

    private fun RelayState.isRecent(feed: Feed, now: Timestamp): Boolean =
        feedAge(feed, now)?.let { it <= settings.maximumAge(feed) } ?: false

    private fun RelayState.answer(call: WaitingCall, now: Timestamp): RelayEffect {
        val buffer = readers.buffers[call.feed]
        val age = feedAge(call.feed, now)
        val answer = if (buffer == null || age == null) null else answer(call, buffer, age, now)
        val from = storeEra.offsetOrNull(call)
        return RelayEffect.AnswerFeed(call.call, answer?.withoutLargeRecords(from))
    }

    private fun RelayState.answer(call: WaitingCall, buffer: FeedBuffer, age: Long, now: Timestamp): FeedAnswer =
        FeedAnswer(
            records = buffer.since(storeEra.offsetOrNull(call)).toPersistentList(),
            nextOffset = buffer.end,
            snapshot = buffer.needsSnapshot(storeEra.offsetOrNull(call)),
            ageMilliseconds = age,
            storeFailedMillisecondsAgo = storeFailureAge(call.feed, now),
            generation = members.generation,
            era = storeEra.number,
        )

    private fun FeedAnswer.withoutLargeRecords(from: Long?): FeedAnswer {
        val bytes = records.sumOf { it.content?.size ?: 0 }
        if (bytes <= MAXIMUM_ANSWER_BYTES) return this
        return copy(records = persistentListOf(), nextOffset = from ?: 0, snapshot = false, tooLarge = true)
    }

    private fun RelayState.storeFailureAge(feed: Feed, now: Timestamp): Long? =
        readers.failedAt[feed]?.let { now - it }?.takeIf { it <= TOLD_FAILURE_MILLISECONDS }
}
