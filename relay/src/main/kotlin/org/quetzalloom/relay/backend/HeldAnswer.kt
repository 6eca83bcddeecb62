package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import org.quetzalloom.relay.caller.AnswerWriter
import org.quetzalloom.relay.http.withoutConnectionHeaders

/**
 * What has been read of an answer and not been passed on.
 *
 * @param mayStream whether the answer is passed on as it comes, if it is a success.
 */
internal class HeldAnswer(val head: HttpResponse, mayStream: Boolean) {
    private val bytes: ByteBuf = Unpooled.buffer(INITIAL_BYTES)
    private val splitter = EventSplitter()
    private val isEvents =
        head.headers().get(HttpHeaderNames.CONTENT_TYPE)?.startsWith("text/event-stream", ignoreCase = true) ?: false

    /** Whether the answer is passed on as it comes; otherwise it is passed on whole. */
    val streams: Boolean = mayStream && head.status().codeClass() == HttpStatusClass.SUCCESS

    /** The id of the last event that was passed on, or `null`. */
    val lastEventId: String? get() = splitter.lastEventId

    /** Adds a piece of the body. */
    fun add(piece: ByteBuf) {
        bytes.writeBytes(piece)
    }

    /** Passes on the head, if [answer] has none yet, and all events that are whole. */
    fun passReady(answer: AnswerWriter) {
        if (!answer.begun) answer.begin(head.status(), head.headers().withoutConnectionHeaders())
        val ready = if (isEvents) splitter.takeWholeEvents(bytes) else bytes.readBytes(bytes.readableBytes())
        if (ready.isReadable) answer.write(ready) else ready.release()
        bytes.discardSomeReadBytes()
    }

    /** Passes on what is left, and the end. */
    fun passEnd(answer: AnswerWriter) {
        if (bytes.isReadable) answer.write(bytes.readBytes(bytes.readableBytes()))
        answer.finish()
    }

    /** Passes on the whole answer. */
    fun passWhole(answer: AnswerWriter): Unit =
        answer.writeWhole(head.status(), head.headers().withoutConnectionHeaders(), bytes.copy())

    /** Frees the bytes. */
    fun release() {
        bytes.release()
    }

    private companion object {
        /** Most plain answers and most events fit. */
        const val INITIAL_BYTES = 1_024
    }
}
