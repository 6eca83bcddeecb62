package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import org.quetzalloom.relay.caller.ResponseWriter
import org.quetzalloom.relay.http.withoutHopByHopHeaders

/**
 * A response that is being read, with the part of its body that has not been forwarded.
 *
 * @param mayStream whether a successful response is forwarded as it arrives.
 * @param splitter takes the events from the body if it is a series of them.
 * @param memory counts the memory that the response takes until it is released.
 */
internal class BufferedResponse(
    val head: HttpResponse,
    mayStream: Boolean,
    private val splitter: EventSplitter,
    private val memory: ResponseMemory,
) {
    private val bytes: ByteBuf = Unpooled.buffer(INITIAL_CAPACITY_BYTES)

    /** The memory that the response takes. */
    var memoryBytes: Int = 0
        private set(value) {
            memory.change(value - field)
            field = value
        }

    /** Whether the body is a series of events. */
    val isEventStream: Boolean =
        head.headers().get(HttpHeaderNames.CONTENT_TYPE)?.startsWith("text/event-stream", ignoreCase = true) ?: false

    /** Whether the response is forwarded as it arrives; otherwise it is forwarded once it is complete. */
    val isStream: Boolean = mayStream && head.status().codeClass() == HttpStatusClass.SUCCESS

    /** The id of the last forwarded event that had one, or `null`. */
    val lastEventId: String? get() = splitter.lastEventId

    /** Whether the buffered bytes end with a part of an event. At the end of the response that event has been lost. */
    val endsInsideEvent: Boolean get() = isEventStream && splitter.endsInsideEvent(bytes)

    /** Why the event after the last forwarded one cannot belong to the stream; `null` if it can, or is incomplete. */
    val eventProblem: String? get() = splitter.problem

    /** The number of events that have been forwarded; 0 if the response is not an event stream. */
    val eventCount: Int get() = splitter.eventCount

    /** Whether more bytes are buffered than any whole response or event has. */
    val isTooLarge: Boolean get() = bytes.readableBytes() > MAXIMUM_BUFFERED_BYTES

    /** Appends a copy of [content] to the buffered body. */
    fun add(content: ByteBuf) {
        bytes.writeBytes(content)
        memoryBytes = bytes.capacity()
    }

    /**
     * Writes what can be forwarded now: the buffered body, after the head unless that has been written. An event stream
     * is forwarded up to its last complete event, or up to an invalid one. The head is written together with the first
     * bytes of the body, so that a response that fails before them can still be replaced. Returns whether anything was
     * written.
     */
    fun forwardAvailable(response: ResponseWriter): Boolean {
        val available =
            if (isEventStream) splitter.takeCompleteEvents(bytes) else bytes.readBytes(bytes.readableBytes())
        val anything = available.isReadable
        if (anything) {
            writeHeadOnce(response)
            response.write(available)
        } else {
            available.release()
        }
        bytes.discardSomeReadBytes()
        return anything
    }

    /** Writes the rest of the body, and ends the response. */
    fun forwardEnd(response: ResponseWriter) {
        writeHeadOnce(response)
        if (bytes.isReadable) response.write(bytes.readBytes(bytes.readableBytes()))
        response.finish()
    }

    /** Writes the complete response. */
    fun forwardWhole(response: ResponseWriter): Unit =
        response.writeWhole(head.status(), head.headers().withoutHopByHopHeaders(), bytes.copy())

    private fun writeHeadOnce(response: ResponseWriter) {
        if (!response.headWritten) response.writeHead(head.status(), head.headers().withoutHopByHopHeaders())
    }

    /** Releases the buffered bytes. */
    fun release() {
        bytes.release()
        memoryBytes = 0
    }

    private companion object {
        /** Fits most responses that are not streams, and most events. */
        const val INITIAL_CAPACITY_BYTES = 1_024

        /** A server in trouble may send bytes without end. */
        const val MAXIMUM_BUFFERED_BYTES = 4 * 1_024 * 1_024
    }
}
