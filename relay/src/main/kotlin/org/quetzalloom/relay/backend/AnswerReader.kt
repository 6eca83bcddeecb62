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
internal class AnswerReader(private val codec: MessageCodec, val call: BackendCall) {
    /** What is to be done after a message was taken. */
    enum class Progress {
        /** More is to come. */
        MORE,

        /** The answer is whole. */
        WHOLE,

        /** The answer is of no use. */
        BAD,
    }

    private var skipping = false

    /** Whether the connection can be used again after this answer. */
    var reusable = true
        private set

    /** How long the backend server keeps an idle connection, in milliseconds, or `null` if it did not say. */
    var keepAliveMilliseconds: Long? = null
        private set

    /** Takes a message of the connection. */
    fun take(message: Any): Progress {
        if (message is HttpResponse && !begin(message)) return Progress.BAD
        return if (message is HttpContent) add(message) else Progress.MORE
    }

    /** Takes the head of an answer; returns whether it is of use. */
    private fun begin(answer: HttpResponse): Boolean {
        val interim = answer.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val foreign = !interim && !codec.belongs(call.exchange.request, answer)
        skipping = interim || foreign
        reusable = reusable && !foreign
        val sound = !answer.decoderResult().isFailure && !answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING)
        if (sound && !skipping) {
            keepAliveMilliseconds = keepAliveOrNull(answer.headers())
            reusable = reusable && HttpUtil.isKeepAlive(answer) && isFramed(answer)
            call.takeHead(answer)
        }
        return sound
    }

    private fun add(content: HttpContent): Progress {
        if (content.decoderResult().isFailure) return Progress.BAD
        if (!skipping && content.content().isReadable) call.takeBody(content.content())
        return if (!skipping && content is LastHttpContent) Progress.WHOLE else Progress.MORE
    }

    private fun isFramed(answer: HttpResponse): Boolean =
        HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
        val TIMEOUT = Regex("""timeout\s*=\s*(\d+)""")

        fun keepAliveOrNull(headers: HttpHeaders): Long? = headers.get("Keep-Alive")
            ?.let { TIMEOUT.find(it) }
            ?.let { it.groupValues[1].toLongOrNull() }
            ?.let { it * MILLISECONDS_PER_SECOND }
    }
}
