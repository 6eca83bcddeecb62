package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled

/** Splits a `text/event-stream` body into whole events, and knows the id of the last one that was taken. */
internal class EventSplitter {
    /** The id of the last event that was taken and had one, or `null`. */
    var lastEventId: String? = null
        private set

    /** Takes all events from [bytes] that are whole; may be empty. What is left begins an event. */
    fun takeCompleteEvents(bytes: ByteBuf): ByteBuf {
        val length = completeLength(bytes)
        if (length == 0) return Unpooled.EMPTY_BUFFER
        val events = bytes.readBytes(length)
        lastEventId = lastIdOrNull(events) ?: lastEventId
        return events
    }

    private fun completeLength(bytes: ByteBuf): Int {
        val text = bytes.toString(Charsets.ISO_8859_1)
        val positions = EVENT_DELIMITERS.map { text.lastIndexOf(it).let { at -> if (at < 0) 0 else at + it.length } }
        return positions.max()
    }

    private fun lastIdOrNull(events: ByteBuf): String? = events.toString(Charsets.UTF_8).lineSequence()
        .filter { it.startsWith(ID_FIELD) }
        .map { it.removePrefix(ID_FIELD).trim() }
        .lastOrNull()

    private companion object {
        const val ID_FIELD = "id:"
        val EVENT_DELIMITERS = listOf("\n\n", "\r\n\r\n")
    }
}
