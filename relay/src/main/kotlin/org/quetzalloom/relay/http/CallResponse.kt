package org.quetzalloom.relay.http

import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent

/** Aggregates the response to a call from the messages of its connection. Skips interim (1xx) responses. */
internal class CallResponse {
    /** The state of the response after a message. */
    enum class Progress {
        /** More messages are expected. */
        INCOMPLETE,

        /** The response is whole. */
        COMPLETE,

        /** A part of the response cannot be decoded, or its body is too long. */
        INVALID,
    }

    private val body = Unpooled.buffer()
    private var head: HttpResponse? = null

    /** Whether the connection can be reused after this response. */
    var reusable = false
        private set

    /** Reads [message], the next one of the connection, and returns the state of the response after it. */
    fun read(message: HttpObject): Progress {
        if (message.decoderResult().isFailure) return Progress.INVALID
        if (message is HttpResponse) readHead(message)
        return if (message is HttpContent && head != null) readContent(message) else Progress.INCOMPLETE
    }

    /** Returns whether a status line begins in the body, which is followed by [surplus]. */
    fun containsStatusLine(surplus: String): Boolean =
        EmbeddedHead.findAll(body.toString(Charsets.ISO_8859_1), surplus).isNotEmpty()

    /** Returns the whole response, without trailers. Its body needs no release. */
    fun toFullResponse(): FullHttpResponse = checkNotNull(head) { "the response has no head" }.let {
        DefaultFullHttpResponse(it.protocolVersion(), it.status(), body, it.headers(), EmptyHttpHeaders.INSTANCE)
    }

    private fun readHead(response: HttpResponse) {
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) return
        head = response
        val framed = HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)
        reusable = framed && HttpUtil.isKeepAlive(response)
    }

    private fun readContent(content: HttpContent): Progress {
        val received = content.content()
        return when {
            body.readableBytes() + received.readableBytes() > MAXIMUM_BODY_BYTES -> Progress.INVALID
            else -> {
                body.writeBytes(received)
                if (content is LastHttpContent) Progress.COMPLETE else Progress.INCOMPLETE
            }
        }
    }

    private companion object {
        /** Larger than any page of the store's newest records. */
        const val MAXIMUM_BODY_BYTES = 8 * 1_024 * 1_024
    }
}
