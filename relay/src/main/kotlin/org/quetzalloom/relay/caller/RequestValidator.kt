package org.quetzalloom.relay.caller

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.routing.CallerLimits

/** Finds request heads that are malformed, ambiguous or over the current [limits]. */
internal class RequestValidator(private val limits: () -> CallerLimits) {
    /** Returns the error kind and a description of the problem with [head], or `null` if it is valid. */
    fun problemOrNull(head: HttpRequest): Pair<ErrorKind, String>? {
        val failure = head.decoderResult().cause()
        val framing = if (failure == null) framingProblemOrNull(head) else null
        return when {
            failure is TooLongHttpHeaderException || failure is TooLongHttpLineException ->
                ErrorKind.HEADER_TOO_LARGE to "the header is larger than ${limits().maximumHeaderBytes} bytes"
            failure != null -> ErrorKind.MALFORMED to "the request could not be parsed"
            framing != null -> ErrorKind.MALFORMED to framing
            HttpUtil.getContentLength(head, 0L) > limits().maximumBodyBytes -> ErrorKind.TOO_LARGE to bodyTooLarge()
            else -> null
        }
    }

    private fun framingProblemOrNull(head: HttpRequest): String? = when {
        head.protocolVersion().majorVersion() != 1 -> "the protocol version is not supported"
        head.headers().getAll(HttpHeaderNames.HOST).size != 1 -> "there must be one Host header"
        !head.uri().startsWith("/") -> "the target must be a path"
        head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size > 1 ->
            "there must be one Transfer-Encoding header"
        head.headers().contains(HttpHeaderNames.TRANSFER_ENCODING) && !HttpUtil.isTransferEncodingChunked(head) ->
            "the transfer encoding is not supported"
        else -> null
    }

    /** Returns the error message for a body over the limit. */
    fun bodyTooLarge(): String = "the body is larger than ${limits().maximumBodyBytes} bytes"
}
