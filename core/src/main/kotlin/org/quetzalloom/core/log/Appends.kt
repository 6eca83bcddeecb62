package org.quetzalloom.core.log

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterSettings
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/** Starts an append to each stream that has queued records, no append in flight and whose next append is due. */
internal fun RouterState.appendAll(now: Timestamp): Step =
    log.writers.keys.sorted().fold(unchanged()) { transition, stream ->
        transition.then { it.appendIfDue(stream, now) }
    }

private fun RouterState.appendIfDue(stream: LogStream, now: Timestamp): Step {
    val writer = log.writerOf(stream)
    if (writer.append != null || writer.queue.isEmpty() || now < writer.dueAt) return unchanged()
    val number = log.appendsStarted + 1
    val batch = writer.queue.take(settings.limits.appendBatchRecords).toPersistentList()
    val started = StreamWriter(
        queue = writer.queue.drop(batch.size).toPersistentList(),
        append = number,
        inFlight = batch,
        dueAt = now + settings.appendIntervalMilliseconds(),
    )
    return withWriter(stream, started).copy(stamp = stamp + 1).let {
        it.copy(log = it.log.copy(appendsStarted = number))
            .with(Effect.OfPlatform.Append(number, stream, it.stamp, batch))
    }
}

/** Returns the state with the reader of [stream] replaced. */
internal fun RouterState.withReader(stream: LogStream, reader: StreamReader): RouterState =
    copy(log = log.copy(readers = log.readers.put(stream, reader)))

/** Returns the state with the writer of [stream] replaced. */
internal fun RouterState.withWriter(stream: LogStream, writer: StreamWriter): RouterState =
    copy(log = log.copy(writers = log.writers.put(stream, writer)))

/** Returns the minimum time between two appends of a VM to one stream at which the whole fleet keeps to the limit. */
private fun RouterSettings.appendIntervalMilliseconds(): Long =
    fleet.size * WRITTEN_STREAMS * MILLISECONDS_PER_SECOND / limits.appendsPerSecond

/** The number of streams that a VM appends to continually: commands and bills. */
private const val WRITTEN_STREAMS = 2
private const val MILLISECONDS_PER_SECOND = 1_000L
