package org.quetzalloom.relay.backend

import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import org.quetzalloom.relay.http.MessageCodec

/** Reads the answer to [call], and drops interim answers and answers to other requests that come before it. */
internal class ResponseReader(private val codec: MessageCodec, val call: BackendCall) {
    /** What is to be done after a message was taken. */
    enum class Progress {
        /** More is to come. */
        INCOMPLETE,

        /** The answer is whole. */
        COMPLETE,

        /** The answer is of no use. */
        INVALID,
    }

    private var skipping = false

    /** Whether the connection can be used again after this answer. */
    var reusable = true
        private set

    /** How long the backend server keeps an idle connection, in milliseconds, or `null` if it did not say. */
    var keepAliveMilliseconds: Long? = null
        private set

    /** Takes a message of the connection. */
    fun read(message: Any): Progress {
        if (message is HttpResponse && !readHead(message)) return Progress.INVALID
        return if (message is HttpContent) readContent(message) else Progress.INCOMPLETE
    }

    /** Takes the head of an answer; returns whether it is of use. */
    private fun readHead(response: HttpResponse): Boolean {
        val interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val mismatched = !interim && !codec.isResponseTo(call.exchange.request, response)
        skipping = interim || mismatched
        reusable = reusable && !mismatched
        val valid =
            !response.decoderResult().isFailure && !response.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
        if (valid && !skipping) {
            keepAliveMilliseconds = keepAliveMillisecondsOrNull(response.headers())
            reusable = reusable && HttpUtil.isKeepAlive(response) && isFramed(response)
            call.onHead(response)
        }
        return valid
    }

    private fun readContent(content: HttpContent): Progress {
        if (content.decoderResult().isFailure) return Progress.INVALID
        if (!skipping && content.content().isReadable) call.onBody(content.content())
        return if (!skipping && content is LastHttpContent) Progress.COMPLETE else Progress.INCOMPLETE
    }

    private fun isFramed(response: HttpResponse): Boolean =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
        val KEEP_ALIVE_TIMEOUT = Regex("""timeout\s*=\s*(\d+)""")

        fun keepAliveMillisecondsOrNull(headers: HttpHeaders): Long? = headers.get("Keep-Alive")
            ?.let { KEEP_ALIVE_TIMEOUT.find(it) }
            ?.let { it.groupValues[1].toLongOrNull() }
            ?.let { it * MILLISECONDS_PER_SECOND }
    }
}
