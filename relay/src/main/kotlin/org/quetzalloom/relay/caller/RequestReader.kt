package org.quetzalloom.relay.caller

import io.netty.buffer.Unpooled
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
import io.netty.util.ReferenceCountUtil
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.routing.CallerLimits
import org.quetzalloom.relay.http.Countdown

/**
 * Reads requests whole, within limits. Passes on [CallerMessage]s; after a rejection it reads nothing more.
 *
 * @param limits returns the limits in force.
 */
internal class RequestReader(private val limits: () -> CallerLimits) : ChannelInboundHandlerAdapter() {
    private class Reading(val head: HttpRequest) {
        val body = Unpooled.buffer()
    }

    private val check = RequestCheck(limits)
    private var reading: Reading? = null
    private var rejected = false
    private var betweenRequests = true
    private lateinit var context: ChannelHandlerContext
    private lateinit var patience: Countdown

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
        patience = Countdown(context.executor())
    }

    /** Takes that bytes have come, which the decoder has not read yet: the header's time begins with its first. */
    fun bytesArrived() {
        if (!betweenRequests || rejected) return
        betweenRequests = false
        patience.restart(limits().headerTimeoutMilliseconds) {
            reject(context, NO_HEAD, ErrorKind.TOO_SLOW, "the header did not arrive in time")
        }
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (!rejected && message is HttpRequest) begin(context, message)
            if (!rejected && message is HttpContent) reading?.let { add(context, it, message) }
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        drop()
        context.fireChannelInactive()
    }

    private fun begin(context: ChannelHandlerContext, head: HttpRequest) {
        context.fireChannelRead(CallerMessage.Begun)
        betweenRequests = false
        val problem = check.problemOrNull(head)
        if (problem != null) return reject(context, head, problem.first, problem.second)
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        reading = Reading(head)
        patience.restart(limits().idleTimeoutMilliseconds) {
            reject(context, head, ErrorKind.TOO_SLOW, "the body did not arrive in time")
        }
    }

    private fun add(context: ChannelHandlerContext, current: Reading, content: HttpContent) {
        val size = current.body.readableBytes() + content.content().readableBytes()
        when {
            content.decoderResult().isFailure ->
                reject(context, current.head, ErrorKind.MALFORMED, "the body is malformed")
            size > limits().maximumBodyBytes -> reject(context, current.head, ErrorKind.TOO_LARGE, check.bodyTooLarge())
            else -> {
                current.body.writeBytes(content.content())
                if (content is LastHttpContent) complete(context, current)
            }
        }
    }

    private fun complete(context: ChannelHandlerContext, request: Reading) {
        patience.cancel()
        betweenRequests = true
        reading = null
        context.fireChannelRead(CallerMessage.Whole(request.head, request.body))
    }

    private fun reject(context: ChannelHandlerContext, head: HttpRequest, kind: ErrorKind, detail: String) {
        drop()
        rejected = true
        context.fireChannelRead(CallerMessage.Rejected(head, kind, detail))
    }

    private fun drop() {
        patience.cancel()
        reading?.body?.release()
        reading = null
    }

    private companion object {
        /** Stands for a head that has not arrived; the answer to it depends on nothing in it. */
        val NO_HEAD = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/")
    }
}
