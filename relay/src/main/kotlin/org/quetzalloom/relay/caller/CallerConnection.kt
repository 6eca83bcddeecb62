package org.quetzalloom.relay.caller

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.SocketChannel
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.handler.codec.http.TooLongHttpHeaderException
import io.netty.handler.codec.http.TooLongHttpLineException
import io.netty.util.ReferenceCountUtil
import io.netty.util.concurrent.ScheduledFuture
import org.quetzalloom.core.error.ErrorKind
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * One connection of a caller. Reads one request after the other; the next is handed on once the one before is answered.
 *
 * It goes on reading while a request is under way, and so notices at once that the caller has gone.
 */
internal class CallerConnection(private val front: CallerFront) : ChannelInboundHandlerAdapter() {
    private class Reading(val head: HttpRequest) {
        val body = Unpooled.buffer()
    }

    private lateinit var context: ChannelHandlerContext
    private val waiting = ArrayDeque<Reading>()
    private var reading: Reading? = null
    private var active: CallerExchange? = null
    private var rejected = false
    private var closing = false
    private var timer: ScheduledFuture<*>? = null

    /** Whether the connection ends with the answer that is under way. */
    val closesAfterAnswer: Boolean get() = front.stopping || rejected

    override fun channelActive(context: ChannelHandlerContext) {
        this.context = context
        front.opened(this)
        expect(front.limits.idleMilliseconds) { closeGently() }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer?.cancel(false)
        front.closed(this)
        reading?.body?.release()
        waiting.forEach { it.body.release() }
        active?.let { front.callerLeft(it) }
        active = null
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            if (!rejected && !closing) read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        active?.call?.pause(!context.channel().isWritable)
    }

    @Deprecated("the supertype's method is")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) front.reportProblem("caller_connection_failed", cause)
        context.close()
    }

    /** Tells that the answer to the request under way has been written. */
    fun answered() {
        active = null
        if (rejected || closing) return
        val next = waiting.removeFirstOrNull()
        if (next != null) hand(next) else if (reading == null) expect(front.limits.idleMilliseconds) { closeGently() }
    }

    /** Closes the connection if no request is being read or answered. */
    fun closeIfIdle() {
        if (active == null && reading == null && waiting.isEmpty()) closeGently()
    }

    /** Ends what is sent, and closes once the caller has closed too, so that nothing it has not read yet is lost. */
    fun closeGently() {
        if (closing) return
        closing = true
        (context.channel() as SocketChannel).shutdownOutput()
        expect(LINGER_MILLISECONDS) { context.close() }
    }

    private fun read(message: Any) {
        if (message is HttpRequest) begin(message)
        if (message is HttpContent) add(message)
    }

    private fun begin(head: HttpRequest) {
        timer?.cancel(false)
        val failure = head.decoderResult().cause()
        val problem = if (failure == null) head.problemOrNull() else null
        when {
            failure is TooLongHttpHeaderException || failure is TooLongHttpLineException ->
                reject(head, ErrorKind.HEADER_TOO_LARGE, "the header is larger than ${front.limits.maximumHeaderBytes} bytes")
            failure != null -> reject(head, ErrorKind.MALFORMED, "the request could not be parsed")
            problem != null -> reject(head, ErrorKind.MALFORMED, problem)
            HttpUtil.getContentLength(head, 0L) > front.limits.maximumBodyBytes -> rejectBody(head)
            else -> start(head)
        }
    }

    private fun start(head: HttpRequest) {
        if (HttpUtil.is100ContinueExpected(head)) {
            context.writeAndFlush(DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE))
        }
        reading = Reading(head)
        expect(front.limits.idleMilliseconds) { reject(head, ErrorKind.TOO_SLOW, "the body did not arrive in time") }
    }

    private fun add(content: HttpContent) {
        val current = reading ?: return
        if (content.decoderResult().isFailure) return reject(current.head, ErrorKind.MALFORMED, "the body is malformed")
        if (current.body.readableBytes() + content.content().readableBytes() > front.limits.maximumBodyBytes) {
            return rejectBody(current.head)
        }
        current.body.writeBytes(content.content())
        if (content is LastHttpContent) complete(current)
    }

    private fun complete(request: Reading) {
        timer?.cancel(false)
        reading = null
        when {
            active == null -> hand(request)
            waiting.size < MOST_WAITING -> waiting.add(request)
            else -> {
                request.body.release()
                context.close()
            }
        }
    }

    private fun hand(request: Reading) {
        active = front.arrived(request.head, request.body, AnswerWriter(this, context.channel(), request.head))
    }

    private fun rejectBody(head: HttpRequest): Unit =
        reject(head, ErrorKind.TOO_LARGE, "the body is larger than ${front.limits.maximumBodyBytes} bytes")

    /** Answers a request that cannot be read on; the connection ends, as nothing after it can be trusted. */
    private fun reject(head: HttpRequest, kind: ErrorKind, detail: String) {
        timer?.cancel(false)
        rejected = true
        reading?.body?.release()
        reading = null
        if (active != null) {
            context.close()
            return
        }
        front.refuse(AnswerWriter(this, context.channel(), head), kind, detail, null)
    }

    private fun expect(milliseconds: Long, otherwise: () -> Unit) {
        timer?.cancel(false)
        timer = context.executor().schedule(otherwise, milliseconds, TimeUnit.MILLISECONDS)
    }

    private fun HttpRequest.problemOrNull(): String? = when {
        protocolVersion().majorVersion() != 1 -> "the protocol version is not supported"
        headers().getAll(HttpHeaderNames.HOST).size != 1 -> "there must be one Host header"
        !uri().startsWith("/") -> "the target must be a path"
        headers().contains(HttpHeaderNames.TRANSFER_ENCODING) && !HttpUtil.isTransferEncodingChunked(this) ->
            "the transfer encoding is not supported"
        headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size > 1 -> "there must be one Transfer-Encoding header"
        else -> null
    }

    private companion object {
        /** Requests that a caller may send ahead on one connection. */
        const val MOST_WAITING = 4

        /** The time that a caller has to close its side. */
        const val LINGER_MILLISECONDS = 1_000L
    }
}
