package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import org.quetzalloom.relay.caller.ResponseWriter
import org.quetzalloom.relay.http.withoutHopByHopHeaders

/**
 * What has been read of an answer and not been passed on.
 *
 * @param mayStream whether the answer is passed on as it comes, if it is a success.
 */
internal class BufferedResponse(val head: HttpResponse, mayStream: Boolean) {
    private val bytes: ByteBuf = Unpooled.buffer(INITIAL_CAPACITY_BYTES)
    private val splitter = EventSplitter()
    private val isEventStream =
        head.headers().get(HttpHeaderNames.CONTENT_TYPE)?.startsWith("text/event-stream", ignoreCase = true) ?: false

    /** Whether the answer is passed on as it comes; otherwise it is passed on whole. */
    val isStream: Boolean = mayStream && head.status().codeClass() == HttpStatusClass.SUCCESS

    /** The id of the last event that was passed on, or `null`. */
    val lastEventId: String? get() = splitter.lastEventId

    /** Adds a piece of the body. */
    fun add(content: ByteBuf) {
        bytes.writeBytes(content)
    }

    /** Passes on the head, if [response] has none yet, and all events that are whole. */
    fun forwardAvailable(response: ResponseWriter) {
        if (!response.headWritten) response.writeHead(head.status(), head.headers().withoutHopByHopHeaders())
        val available =
            if (isEventStream) splitter.takeCompleteEvents(bytes) else bytes.readBytes(bytes.readableBytes())
        if (available.isReadable) response.write(available) else available.release()
        bytes.discardSomeReadBytes()
    }

    /** Passes on what is left, and the end. */
    fun forwardEnd(response: ResponseWriter) {
        if (bytes.isReadable) response.write(bytes.readBytes(bytes.readableBytes()))
        response.finish()
    }

    /** Passes on the whole answer. */
    fun forwardWhole(response: ResponseWriter): Unit =
        response.writeWhole(head.status(), head.headers().withoutHopByHopHeaders(), bytes.copy())

    /** Frees the bytes. */
    fun release() {
        bytes.release()
    }

    private companion object {
        /** Most plain answers and most events fit. */
        const val INITIAL_CAPACITY_BYTES = 1_024
    }
}
