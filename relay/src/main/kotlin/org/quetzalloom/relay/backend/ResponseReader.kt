package org.quetzalloom.relay.backend

import io.netty.handler.codec.DecoderResult
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.LastHttpContent
import org.quetzalloom.relay.http.EmbeddedHeadDetector
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.http.ResponseOrigin

/**
 * Reads the response to [call] from the messages of its connection.
 *
 * Skips interim (1xx) responses, and responses to other requests that arrive first, up to a limit. A response with a
 * content encoding is invalid, and so is one in whose body another response begins.
 *
 * A response that names no request is accepted only if nothing else has been sent or received on the connection: a late
 * copy of the response to an earlier request would look the same, and may say that the request has not run.
 *
 * @param firstOnConnection whether no other request has been sent on the connection.
 */
internal class ResponseReader(private val codec: MessageCodec, val call: BackendCall, firstOnConnection: Boolean) {
    /** The state of the response after a message. */
    enum class Progress {
        /** More messages are expected. */
        INCOMPLETE,

        /** The response is complete. */
        COMPLETE,

        /** The response cannot be used, and the connection has to be closed. */
        INVALID,
    }

    private var skipping = false
    private var skippedResponses = 0
    private var skippedBytes = 0
    private var acceptsUnnamed = firstOnConnection

    /** Whether the connection can be reused after this response. */
    var reusable = true
        private set

    /** The keep-alive timeout that the response gives, in milliseconds, or `null` if it gives none. */
    var keepAliveMilliseconds: Long? = null
        private set

    /** What is wrong with a response that cannot be used, for logs; `null` unless that is known. */
    var problem: String? = null
        private set

    private var detector = newDetector()

    /**
     * Reads [message], the next one of the connection, and returns the state of the response after it.
     *
     * @param surplus the start of what has been received behind a response that [message] ends.
     */
    fun read(message: Any, surplus: String): Progress {
        if (message is HttpResponse && !readHead(message)) return Progress.INVALID
        return if (message is HttpContent) readContent(message, surplus) else Progress.INCOMPLETE
    }

    private fun newDetector() = EmbeddedHeadDetector(codec::nameRequest)

    /** Reads the head of a response, and passes it to [call] unless it is skipped. Returns whether it is valid. */
    private fun readHead(response: HttpResponse): Boolean {
        val interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
        val origin = codec.originOf(response, call.exchange.request)
        detector = newDetector()
        skipping = interim || !isAccepted(origin)
        if (skipping) skippedResponses++
        // A server that leaves out the name once may do so again, which is accepted on a new connection only.
        val named = interim || origin == ResponseOrigin.THIS_REQUEST
        reusable = reusable && named
        acceptsUnnamed = acceptsUnnamed && named
        problem = headProblemOrNull(response)
        val valid = problem == null
        if (valid && !skipping) {
            keepAliveMilliseconds = keepAliveMillisecondsOrNull(response.headers())
            reusable = reusable && HttpUtil.isKeepAlive(response) && isFramed(response)
            call.onHead(response)
        }
        return valid
    }

    private fun headProblemOrNull(response: HttpResponse): String? = when {
        skippedResponses > MAXIMUM_SKIPPED_RESPONSES -> "more than $MAXIMUM_SKIPPED_RESPONSES responses precede it"
        response.decoderResult().isFailure -> "the head is invalid: ${response.decoderResult().describe()}"
        response.headers().contains(HttpHeaderNames.CONTENT_ENCODING) -> "it has a content encoding"
        else -> null
    }

    private fun isAccepted(origin: ResponseOrigin): Boolean = when (origin) {
        ResponseOrigin.THIS_REQUEST -> true
        ResponseOrigin.OTHER_REQUEST -> false
        ResponseOrigin.UNNAMED -> acceptsUnnamed
    }

    private fun readContent(content: HttpContent, surplus: String): Progress {
        if (skipping) skippedBytes += content.content().readableBytes()
        problem = contentProblemOrNull(content, surplus)
        if (problem != null) return Progress.INVALID
        if (!skipping && content.content().isReadable) call.onBody(content.content())
        return if (!skipping && content is LastHttpContent) Progress.COMPLETE else Progress.INCOMPLETE
    }

    private fun contentProblemOrNull(content: HttpContent, surplus: String): String? = when {
        content.decoderResult().isFailure -> "the body is invalid: ${content.decoderResult().describe()}"
        skippedBytes > MAXIMUM_SKIPPED_BYTES -> "more than $MAXIMUM_SKIPPED_BYTES bytes of other responses precede it"
        isJoined(content, surplus) -> "another response begins in the body"
        else -> null
    }

    /** The message may quote what the backend server has sent. */
    private fun DecoderResult.describe(): String = cause().message.orEmpty().take(MAXIMUM_DESCRIPTION_CHARACTERS)

    private fun isJoined(content: HttpContent, surplus: String): Boolean {
        // The lines of an event may be taken for headers of a response that the event quotes.
        if (!skipping && call.forwardsEvents) return false
        val following = if (content is LastHttpContent) surplus else ""
        return detector.hasBegun(content.content().toString(Charsets.ISO_8859_1), following)
    }

    private fun isFramed(response: HttpResponse): Boolean =
        HttpUtil.isContentLengthSet(response) || HttpUtil.isTransferEncodingChunked(response)

    private companion object {
        /** More than the late responses and the interim ones of a sound server. */
        const val MAXIMUM_SKIPPED_RESPONSES = 32

        /** As long as the longest response that is forwarded. */
        const val MAXIMUM_SKIPPED_BYTES = 4 * 1_024 * 1_024
        const val MAXIMUM_DESCRIPTION_CHARACTERS = 100
        const val MILLISECONDS_PER_SECOND = 1_000L
        val KEEP_ALIVE_TIMEOUT = Regex("""timeout\s*=\s*(\d+)""")

        fun keepAliveMillisecondsOrNull(headers: HttpHeaders): Long? = headers.get("Keep-Alive")
            ?.let { KEEP_ALIVE_TIMEOUT.find(it) }
            ?.let { it.groupValues[1].toLongOrNull() }
            ?.let { it * MILLISECONDS_PER_SECOND }
    }
}
