package org.quetzalloom.core.log

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/** The slice of [LogPart]. */
internal data class LogState(
    val readers: PersistentMap<LogStream, StreamReader> = persistentMapOf(),
    val writers: PersistentMap<LogStream, StreamWriter> = persistentMapOf(),
    val appendsStarted: Long = 0,
) {
    fun readerOf(stream: LogStream): StreamReader = readers[stream] ?: StreamReader()

    fun writerOf(stream: LogStream): StreamWriter = writers[stream] ?: StreamWriter()

    /** Returns the state with [record] waiting to be appended. */
    fun enqueue(record: LogRecord): LogState {
        val writer = writerOf(record.stream)
        return copy(writers = writers.put(record.stream, writer.copy(queue = writer.queue.add(record))))
    }

    /** Returns the records of the append numbered [append] while it is under way, or none. */
    fun recordsInFlight(append: Long): PersistentList<LogRecord> =
        writers.values.firstOrNull { it.append == append }?.inFlight ?: persistentListOf()
}
