package org.quetzalloom.core.rig

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.log.LogStream

/** An in-memory log of the platform. Tests read its records to check what the routers recorded. */
class FakeLog {
    private val streams = LogStream.entries.associateWith { mutableListOf<LogEntry>() }
    private val earliest = LogStream.entries.associateWith { 0L }.toMutableMap()

    /** Whether all reads and appends fail. */
    var down = false

    /** How many of the next appends take effect but are answered as failed. */
    var lostAnswers = 0

    /** The number of appends that took effect. */
    var appends = 0
        private set

    fun records(stream: LogStream): List<LogRecord> = streams.getValue(stream).map { it.record }

    fun append(stream: LogStream, stamp: Long, records: List<LogRecord>): Boolean {
        if (down) return false
        appends += 1
        val entries = streams.getValue(stream)
        records.forEach { entries.add(LogEntry(entries.size.toLong(), stamp, it)) }
        val lost = lostAnswers > 0
        if (lost) lostAnswers -= 1
        return !lost
    }

    fun append(effect: Effect.OfPlatform.Append): Event = if (append(effect.stream, effect.stamp, effect.records)) {
        Event.OfPlatform.LogAppended(effect.append)
    } else {
        Event.OfPlatform.LogAppendFailed(effect.append)
    }

    fun read(effect: Effect.OfPlatform.Read): Event {
        if (down) return Event.OfPlatform.LogReadFailed(effect.stream)
        val entries = streams.getValue(effect.stream)
        val first = earliest.getValue(effect.stream)
        val from = effect.from.coerceAtLeast(first)
        val given = entries.drop(from.toInt()).toPersistentList()
        return Event.OfPlatform.LogRead(effect.stream, given, from + given.size, first)
    }

    /** Expires all records of [stream] but the last [kept]. */
    fun expire(stream: LogStream, kept: Int) {
        earliest[stream] = (streams.getValue(stream).size - kept).toLong().coerceAtLeast(earliest.getValue(stream))
    }
}
