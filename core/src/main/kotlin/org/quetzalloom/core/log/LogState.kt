package org.quetzalloom.core.log

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The state of [LogPart].
 *
 * @property readers the reader of each stream that was read.
 * @property writers the writer of each stream that was written.
 * @property appendsStarted the number of appends that this process has started, which is the number of the last one.
 */
internal data class LogState(
    val readers: PersistentMap<LogStream, StreamReader> = persistentMapOf(),
    val writers: PersistentMap<LogStream, StreamWriter> = persistentMapOf(),
    val appendsStarted: Long = 0,
) {
    /** Returns the reader of [stream], or one that starts at offset 0. */
    fun readerOf(stream: LogStream): StreamReader = readers[stream] ?: StreamReader()

    /** Returns the writer of [stream], or an idle one. */
    fun writerOf(stream: LogStream): StreamWriter = writers[stream] ?: StreamWriter()

    /** Returns the state with [record] at the end of the queue of its stream. */
    fun enqueue(record: LogRecord): LogState {
        val writer = writerOf(record.stream)
        return copy(writers = writers.put(record.stream, writer.copy(queue = writer.queue.add(record))))
    }

    /** Returns the records of the append numbered [append], or none if it is not in flight. */
    fun recordsInFlight(append: Long): PersistentList<LogRecord> =
        writers.values.firstOrNull { it.append == append }?.inFlight ?: persistentListOf()
}
