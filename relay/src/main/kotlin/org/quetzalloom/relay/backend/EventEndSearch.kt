package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf

/** Searches a `text/event-stream` body for the empty line that ends an event. Looks at each received byte once. */
internal class EventEndSearch {
    /** Where the first line that has not ended begins, counted from the start of the event. */
    private var lineOffset = 0

    /** The number of bytes from the start of the event that are known to hold no end of an event. */
    private var searchedBytes = 0

    /**
     * Returns the index after the event that begins at [start], or `null` if its end has not been received. The event
     * after it is searched for next, and otherwise the same one, which may have moved within [bytes].
     */
    fun endOrNull(bytes: ByteBuf, start: Int): Int? {
        var line = start + lineOffset
        var lineEnd = bytes.indexOf(start + searchedBytes, bytes.writerIndex(), LINE_FEED)
        while (lineEnd >= 0 && !isEmptyLine(bytes, line, lineEnd)) {
            line = lineEnd + 1
            lineEnd = bytes.indexOf(line, bytes.writerIndex(), LINE_FEED)
        }
        val found = lineEnd >= 0
        lineOffset = if (found) 0 else line - start
        searchedBytes = if (found) 0 else bytes.writerIndex() - start
        return if (found) lineEnd + 1 else null
    }

    private fun isEmptyLine(bytes: ByteBuf, start: Int, end: Int): Boolean =
        bytes.forEachByte(start, end - start) { it == CARRIAGE_RETURN } < 0

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val CARRIAGE_RETURN = '\r'.code.toByte()
    }
}
