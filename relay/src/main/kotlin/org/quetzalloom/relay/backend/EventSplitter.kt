package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** Takes complete events from a `text/event-stream` body, and tracks the id of the last one. */
internal class EventSplitter {
    /** The id of the last taken event that had one, or `null`. */
    var lastEventId: String? = null
        private set

    /** The number of taken events. */
    var eventCount: Int = 0
        private set

    /** The number of bytes, from the first one on, that are known to hold no end of an event. */
    private var searchedBytes = 0

    /** Removes all complete events from [bytes] and returns them; may be empty. The rest is the start of an event. */
    fun takeCompleteEvents(bytes: ByteBuf): ByteBuf {
        val length = completeLength(bytes)
        searchedBytes = bytes.readableBytes() - length
        if (length == 0) return Unpooled.EMPTY_BUFFER
        val events = bytes.readBytes(length)
        val lines = events.toString(Charsets.UTF_8).lines()
        lastEventId = lastIdOrNull(lines) ?: lastEventId
        // The text after the last delimiter is an empty line too.
        eventCount += lines.count { it.isEmpty() } - 1
        return events
    }

    /** Returns whether the first complete event in [bytes] has an id after [lastId]; also if there is none yet. */
    fun follows(lastId: String, bytes: ByteBuf): Boolean {
        val lines = bytes.toString(bytes.readerIndex(), completeLength(bytes), Charsets.UTF_8).lines()
        val firstEvent = lines.dropWhile { it.isEmpty() || it.startsWith(COMMENT) }.takeWhile { it.isNotEmpty() }
        val id = lastIdOrNull(firstEvent)
        return firstEvent.isEmpty() || id != null && isAfter(id, lastId)
    }

    /** Numbers are compared; any other id is taken to be later unless it is the same. */
    private fun isAfter(id: String, lastId: String): Boolean {
        val number = id.toLongOrNull()
        val lastNumber = lastId.toLongOrNull()
        return if (number != null && lastNumber != null) number > lastNumber else id != lastId
    }

    /** Returns whether [bytes] end with a part of an event. Line breaks after the last event are no part of one. */
    fun endsInsideEvent(bytes: ByteBuf): Boolean =
        bytes.toString(Charsets.ISO_8859_1).drop(completeLength(bytes)).any { it != '\n' && it != '\r' }

    private fun completeLength(bytes: ByteBuf): Int {
        val start = (searchedBytes - LONGEST_DELIMITER_BYTES).coerceAtLeast(0)
        val text = bytes.toString(bytes.readerIndex() + start, bytes.readableBytes() - start, Charsets.ISO_8859_1)
        val positions =
            EVENT_DELIMITERS.map { text.lastIndexOf(it).let { at -> if (at < 0) 0 else start + at + it.length } }
        return positions.max()
    }

    private fun lastIdOrNull(lines: List<String>): String? = lines
        .filter { it.startsWith(ID_FIELD) }
        .map { it.removePrefix(ID_FIELD).trim() }
        .lastOrNull()

    private companion object {
        const val ID_FIELD = "id:"
        const val COMMENT = ":"
        const val LONGEST_DELIMITER_BYTES = 4
        val EVENT_DELIMITERS = listOf("\n\n", "\r\n\r\n")
    }
}
