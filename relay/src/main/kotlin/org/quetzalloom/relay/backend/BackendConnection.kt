package org.quetzalloom.relay.backend

import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.socket.ChannelInputShutdownEvent
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.http.ResponseDecoder
import org.quetzalloom.relay.http.endProcessIfOutOfMemory
import java.io.IOException

/**
 * One keep-alive connection to a backend server, which serves one request at a time.
 *
 * The connection is closed if bytes arrive while no request is in flight. It returns to the pool only after everything
 * that was received together with the end of a response has been read, so that surplus bytes are never taken for the
 * response to the next request.
 *
 * A response that ends with its connection is complete only if the whole request has been written: a reset that a write
 * has found looks like an orderly end to the reads that follow. After a failed write, the input is still read to its
 * end, so that a response with a length that was sent before is not lost.
 */
internal class BackendConnection(
    private val pool: BackendPool,
    private val codec: MessageCodec,
    private val decoder: ResponseDecoder,
    private val heads: ResponseHeadMemory,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private lateinit var requestWrite: ChannelFuture
    private var reader: ResponseReader? = null
    private var reusable = true
    private var used = false
    private var responseComplete = false

    /** Whether the end of the input has ended the response, which had no length. */
    private var endsWithInput = false

    /** The backend server's keep-alive timeout in milliseconds, or `null` if the last response did not give it. */
    var keepAliveMilliseconds: Long? = null
        private set

    /** The time of the last return to the pool. */
    var idleSince: Timestamp = Timestamp.EPOCH

    /** Whether reading from the socket is paused. */
    var readingPaused: Boolean
        get() = !channel.config().isAutoRead
        set(value) {
            channel.config().isAutoRead = !value
        }

    /** The memory that the head of the response takes. */
    val headBytes: Int get() = heads.heldBytes

    /** Whether the connection can take another request. */
    val open: Boolean get() = channel.isActive && reusable

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
        requestWrite = channel.newSucceededFuture()
    }

    /** Sends the request of [call] with [headers], and passes the response to [call]. */
    fun send(call: BackendCall, headers: HttpHeaders) {
        reader = ResponseReader(codec, call, firstOnConnection = !used)
        used = true
        call.exchange.connections = call.exchange.connections.add(this)
        call.onSending(this)
        val head = call.exchange.head
        val body = call.exchange.body.retainedDuplicate()
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), body)
        request.headers().add(headers)
        if (body.isReadable || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        decoder.method = head.method()
        decoder.responseExpected = true
        requestWrite = channel.writeAndFlush(request)
        val delayed = !requestWrite.isDone
        requestWrite.addListener { written ->
            if (written.isSuccess && delayed && !call.ended) call.listener.requestWritten(call)
            // After an I/O error the input ends by itself.
            if (!written.isSuccess && written.cause() !is IOException) channel.close()
        }
    }

    /** Closes the connection without reporting a failure to the request in flight. */
    fun abandon() {
        reader = null
        channel.close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val current = reader
        val progress = current?.read(message, decoder.surplus) ?: ResponseReader.Progress.INVALID
        ReferenceCountUtil.release(message)
        when (progress) {
            ResponseReader.Progress.INCOMPLETE -> Unit
            ResponseReader.Progress.COMPLETE ->
                current?.let { if (decoder.inputEnded) endsWithInput = true else finish(it) }
            ResponseReader.Progress.INVALID -> fail(AttemptFailure.BAD_ANSWER, current?.problem)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!responseComplete) return
        responseComplete = false
        if (open && requestWrite.isSuccess) pool.release(this) else channel.close()
    }

    /** Closes the connection at the end of its input, after the rest of the request has been written or has failed. */
    override fun userEventTriggered(context: ChannelHandlerContext, event: Any) {
        if (event !is ChannelInputShutdownEvent) return
        requestWrite.addListener { written ->
            if (endsWithInput && written.isSuccess) reader?.let { finish(it) }
            channel.close()
        }
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        pool.onClosed(this)
        fail(AttemptFailure.CONNECTION_LOST)
    }

    /**
     * Closes the connection and fails the request in flight. After a reset even a response without a length, which ends
     * with its connection, is incomplete.
     */
    @Deprecated("Overrides a deprecated method.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        cause.endProcessIfOutOfMemory()
        fail(AttemptFailure.CONNECTION_LOST)
    }

    private fun finish(current: ResponseReader) {
        if (reader !== current) return
        reader = null
        decoder.responseExpected = false
        decoder.releaseHead()
        // The next response has another reader, and the pool has to see that the connection is closed.
        readingPaused = false
        responseComplete = true
        reusable = reusable && current.reusable
        keepAliveMilliseconds = current.keepAliveMilliseconds
        current.call.onEnd()
    }

    /** Closes the connection, and fails the request in flight. [detail] is for logs. */
    private fun fail(failure: AttemptFailure, detail: String? = null) {
        channel.close()
        val current = reader ?: return
        reader = null
        current.call.onFailure(failure, detail)
    }
}
