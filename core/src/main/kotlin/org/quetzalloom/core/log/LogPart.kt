package org.quetzalloom.core.log

import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/**
 * Reads the streams that the router follows, and appends the records that the other parts have queued, in batches.
 *
 * A batch is appended again if its append failed or the response was lost, so the log may contain it twice. Readers
 * ignore a second intent, outcome or release of the same request and a second bill of the same identity.
 */
internal object LogPart : Part {
    private val followed = listOf(LogStream.CONFIGURATION, LogStream.COMMANDS)

    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step =
        state.handle(event, now).then { it.appendAll(now) }.then { it.readAll(now) }

    private fun RouterState.handle(event: Event, now: Timestamp): Step = when (event) {
        is Event.OfPlatform.LogRead -> onLogRead(event, now)
        is Event.OfPlatform.LogReadFailed -> retryRead(event.stream, now).unchanged()
        is Event.OfPlatform.LogAppended -> completeAppend(event.append, now).unchanged()
        is Event.OfPlatform.LogAppendFailed -> retryAppend(event.append, now)
        else -> unchanged()
    }

    private fun RouterState.onLogRead(event: Event.OfPlatform.LogRead, now: Timestamp): Step {
        val reader = log.readerOf(event.stream)
        val wait = if (event.entries.isEmpty() && !reader.readAgain) settings.limits.readIntervalMilliseconds else 0
        val next = withReader(event.stream, StreamReader(nextOffset = event.next, dueAt = now + wait))
        if (reader.nextOffset == 0L || event.earliest <= reader.nextOffset) return next.unchanged()
        return next.report(now, "log_records_expired", "stream" to event.stream, "from" to reader.nextOffset)
    }

    private fun RouterState.retryRead(stream: LogStream, now: Timestamp): RouterState {
        val reader = log.readerOf(stream)
        return withReader(stream, reader.copy(reading = false, dueAt = now + settings.limits.readIntervalMilliseconds))
    }

    /** Completes an append and reads its stream at once, as requests may be waiting for the records. */
    private fun RouterState.completeAppend(append: Long, now: Timestamp): RouterState {
        val (stream, writer) = writerOfOrNull(append) ?: return this
        val next = withWriter(stream, writer.copy(append = null, inFlight = persistentListOf()))
        val reader = next.log.readerOf(stream)
        return if (stream in followed) next.withReader(stream, reader.copy(readAgain = true, dueAt = now)) else next
    }

    private fun RouterState.retryAppend(append: Long, now: Timestamp): Step {
        val (stream, writer) = writerOfOrNull(append) ?: return unchanged()
        val retried = writer.copy(
            append = null,
            inFlight = persistentListOf(),
            queue = writer.inFlight.addAll(writer.queue),
            dueAt = now + settings.limits.appendRetryMilliseconds,
        )
        return withWriter(stream, retried)
            .report(now, "log_append_failed", "stream" to stream, "records" to writer.inFlight.size)
    }

    private fun RouterState.writerOfOrNull(append: Long): Pair<LogStream, StreamWriter>? =
        log.writers.entries.firstOrNull { it.value.append == append }?.let { it.key to it.value }

    private fun RouterState.readAll(now: Timestamp): Step =
        followed.fold(unchanged()) { transition, stream -> transition.then { it.readIfDue(stream, now) } }

    private fun RouterState.readIfDue(stream: LogStream, now: Timestamp): Step {
        val reader = log.readerOf(stream)
        if (reader.reading || now < reader.dueAt) return unchanged()
        return withReader(stream, reader.copy(reading = true)).with(Effect.OfPlatform.Read(stream, reader.nextOffset))
    }
}
