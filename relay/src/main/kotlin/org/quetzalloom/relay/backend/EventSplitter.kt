package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaders

/**
 * Takes complete events from a `text/event-stream` body up to the first invalid one, and tracks the id of the last one.
 *
 * The ids of a stream increase: numbers are compared, and any other id only has to differ from the one before.
 *
 * @param nameRequest returns whether headers name a request, as those of a response do.
 * @param previousId the id of the event after which the stream continues, or `null` if it begins anew.
 * @param requiresId whether the first event must have an id, because the caller has received the events before it.
 */
internal class EventSplitter(
    private val nameRequest: (HttpHeaders) -> Boolean,
    private var previousId: String? = null,
    private var requiresId: Boolean = false,
) {
    private val search = EventEndSearch()
    private var atStart = true

    /** The number of line breaks, comments and retry times since the last event with content. */
    private var emptyEvents = 0

    /** The id of the last taken event that had one, or `null`. */
    var lastEventId: String? = null
        private set

    /** The number of taken events. */
    var eventCount: Int = 0
        private set

    /** Why the event after the last taken one cannot belong to the stream; `null` if it can, or is incomplete. */
    var problem: String? = null
        private set

    /**
     * Removes all complete events from [bytes] and returns them; may be empty. The rest is the start of an event, or
     * starts with an invalid one.
     */
    fun takeCompleteEvents(bytes: ByteBuf): ByteBuf {
        val start = bytes.readerIndex()
        var end = start
        while (problem == null) {
            val next = search.endOrNull(bytes, end) ?: break
            val text = bytes.toString(end, next - end, Charsets.ISO_8859_1)
            val event = StreamEvent(if (atStart) text.removePrefix(BYTE_ORDER_MARK) else text)
            problem = problemOrNull(event)
            if (problem == null) {
                record(event)
                end = next
            }
        }
        return if (end == start) Unpooled.EMPTY_BUFFER else bytes.readBytes(end - start)
    }

    /** Returns whether [bytes] end with a part of an event. Line breaks after the last event are no part of one. */
    fun endsInsideEvent(bytes: ByteBuf): Boolean {
        val text = bytes.toString(Charsets.ISO_8859_1)
        val lineBreaks = text.takeLastWhile { it == '\n' || it == '\r' }
        return lineBreaks.length < text.length && lineBreaks.count { it == '\n' } < LINE_BREAKS_AFTER_EVENT
    }

    private fun problemOrNull(event: StreamEvent): String? = when {
        !event.isValid(nameRequest) -> "a part of the stream is no event"
        !isNext(event) -> "an event does not follow the one before"
        !event.hasContent && emptyEvents >= MAXIMUM_EMPTY_EVENTS ->
            "more than $MAXIMUM_EMPTY_EVENTS line breaks and comments follow an event"
        else -> null
    }

    private fun isNext(event: StreamEvent): Boolean {
        val id = event.id ?: return !requiresId || !event.hasContent
        return previousId?.let { isAfter(id, it) } ?: true
    }

    private fun isAfter(id: String, lastId: String): Boolean {
        val number = id.toLongOrNull()
        val lastNumber = lastId.toLongOrNull()
        return if (number != null && lastNumber != null) number > lastNumber else id != lastId
    }

    private fun record(event: StreamEvent) {
        atStart = false
        if (event.hasLines) eventCount++
        emptyEvents = if (event.hasContent) 0 else emptyEvents + 1
        event.id?.let {
            lastEventId = it
            previousId = it
            requiresId = false
        }
    }

    private companion object {
        /** A server in trouble may send line breaks without end. */
        const val MAXIMUM_EMPTY_EVENTS = 10_000

        /** The end of the last line, and the empty line. */
        const val LINE_BREAKS_AFTER_EVENT = 2

        /** The mark in UTF-8, decoded as ISO 8859-1. */
        const val BYTE_ORDER_MARK = "\u00EF\u00BB\u00BF"
    }
}
