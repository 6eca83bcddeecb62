package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.util.ReferenceCountUtil
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.routing.CallerLimits
import org.quetzalloom.relay.head.HeadMemoryException
import org.quetzalloom.relay.head.releaseMemory
import org.quetzalloom.relay.http.RestartableTimer
import org.quetzalloom.relay.http.StrictRequestDecoder

/**
 * Aggregates requests within the limits, and passes [CallerMessage]s to the next handler of the pipeline.
 *
 * The head of a request must arrive within the header timeout, and then its whole body within the idle timeout.
 * After a rejection all further input is discarded.
 *
 * @param memory bounds the memory of all requests.
 * @param limits returns the current limits.
 */
internal class RequestReader(
    private val memory: RequestMemory,
    private val limits: () -> CallerLimits,
) : ChannelInboundHandlerAdapter() {
    /** A request whose head is valid, with the part of its [body] that has been received. */
    private class PartialRequest(val head: HttpRequest, val body: ByteBuf)

    private val validator = RequestValidator(limits)
    private var partialRequest: PartialRequest? = null
    private var rejected = false
    private var betweenRequests = true
    private lateinit var context: ChannelHandlerContext
    private lateinit var timeout: RestartableTimer

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        timeout = RestartableTimer(context.executor())
    }

    /**
     * Handles the arrival of undecoded bytes. A request starts with its first byte, and so does its header timeout. If
     * that byte arrives together with the end of the request before, both start with the next bytes.
     */
    fun onBytesReceived() {
        if (!betweenRequests || rejected) return
        betweenRequests = false
        context.fireChannelRead(CallerMessage.Started)
        timeout.restart(limits().headerTimeoutMilliseconds) {
            reject(context, PLACEHOLDER_HEAD, ErrorKind.TOO_SLOW, "the header did not arrive in time")
        }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (!rejected && message is HttpRequest) onHead(context, message)
            if (!rejected && message is HttpContent) partialRequest?.let { onContent(context, it, message) }
            if (message is LastHttpContent) message.trailingHeaders().releaseMemory()
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        when {
            event !is StrictRequestDecoder.MemoryExhausted -> context.fireUserEventTriggered(event)
            !rejected -> rejectForMemory(context, PLACEHOLDER_HEAD)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        discard()
        context.fireChannelInactive()
    }

    private fun onHead(context: ChannelHandlerContext, head: HttpRequest) {
        context.fireChannelRead(CallerMessage.Started)
        betweenRequests = false
        val exhausted = head.decoderResult().cause() is HeadMemoryException
        val problem = if (exhausted) null else validator.problemOrNull(head)
        if (problem != null) return reject(context, head, problem.first, problem.second)
        if (exhausted || !memory.mayHold(HttpUtil.getContentLength(head, 0L))) return rejectForMemory(context, head)
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        partialRequest = PartialRequest(head, memory.newBody(head))
        timeout.restart(limits().idleTimeoutMilliseconds) {
            reject(context, head, ErrorKind.TOO_SLOW, "the body did not arrive in time")
        }
    }

    private fun onContent(context: ChannelHandlerContext, current: PartialRequest, content: HttpContent) {
        val size = current.body.readableBytes() + content.content().readableBytes()
        val failure = content.decoderResult().cause()
        when {
            failure is HeadMemoryException -> rejectForMemory(context, current.head)
            failure is TooLongHttpHeaderException ->
                reject(context, current.head, ErrorKind.HEADER_TOO_LARGE, "the trailers are too large")
            failure != null ->
                reject(context, current.head, ErrorKind.MALFORMED, "the body is malformed")
            size > limits().maximumBodyBytes ->
                reject(context, current.head, ErrorKind.TOO_LARGE, validator.bodyTooLarge())
            !memory.mayHold(size.toLong()) -> rejectForMemory(context, current.head)
            else -> {
                current.body.writeBytes(content.content())
                if (content !is LastHttpContent) return
                timeout.cancel()
                betweenRequests = true
                partialRequest = null
                context.fireChannelRead(CallerMessage.Complete(current.head, current.body))
            }
        }
    }

    private fun rejectForMemory(context: ChannelHandlerContext, head: HttpRequest) = reject(
        context,
        head,
        ErrorKind.OVERLOADED,
        "other requests take the memory of this router",
        MEMORY_RETRY_MILLISECONDS,
    )

    private fun reject(
        context: ChannelHandlerContext,
        head: HttpRequest,
        kind: ErrorKind,
        detail: String,
        retryAfterMilliseconds: Long? = null,
    ) {
        discard()
        rejected = true
        head.headers().releaseMemory()
        // Ends the count of what has been received, and lets the rest of the input pass undecoded.
        context.pipeline().get(StrictRequestDecoder::class.java)?.let { context.pipeline().remove(it) }
        context.fireChannelRead(CallerMessage.Rejected(head, kind, detail, retryAfterMilliseconds))
    }

    private fun discard() {
        timeout.cancel()
        partialRequest?.body?.release()
        partialRequest = null
    }

    private companion object {
        /** By then a part of the requests that take the memory has usually been answered. */
        const val MEMORY_RETRY_MILLISECONDS = 500L

        /** Replaces a head that has not arrived in time; the error response does not depend on it. */
        val PLACEHOLDER_HEAD = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
    }
}
