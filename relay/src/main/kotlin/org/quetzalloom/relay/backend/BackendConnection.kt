package org.quetzalloom.relay.backend

import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpVersion
import io.netty.util.ReferenceCountUtil
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.http.ResponseDecoder

/**
 * One keep-alive connection to a backend server, which serves one request at a time.
 *
 * The connection is closed if bytes arrive while no request is in flight. It returns to the pool only after everything
 * that was received together with the end of a response has been read, so that surplus bytes are never taken for the
 * response to the next request.
 */
internal class BackendConnection(
    private val pool: BackendPool,
    private val codec: MessageCodec,
    private val decoder: ResponseDecoder,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var reader: ResponseReader? = null
    private var reusable = true
    private var used = false
    private var requestWritten = true
    private var responseComplete = false

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

    /** Whether the connection can take another request. */
    val open: Boolean get() = channel.isActive && reusable

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Sends the request of [call] with [headers], and passes the response to [call]. */
    fun send(call: BackendCall, headers: HttpHeaders) {
        reader = ResponseReader(codec, call, firstOnConnection = !used)
        used = true
        call.onSending(this)
        val head = call.exchange.head
        val body = call.exchange.body.retainedDuplicate()
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), body)
        request.headers().add(headers)
        if (body.isReadable || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)) {
            request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        }
        decoder.method = head.method()
        requestWritten = false
        channel.writeAndFlush(request).addListener { requestWritten = true }
    }

    /** Closes the connection without reporting a failure to the request in flight. */
    fun abandon() {
        reader = null
        close()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val current = reader
        val progress = current?.read(message) ?: ResponseReader.Progress.INVALID
        ReferenceCountUtil.release(message)
        when (progress) {
            ResponseReader.Progress.INCOMPLETE -> Unit
            ResponseReader.Progress.COMPLETE -> current?.let { finish(it) }
            ResponseReader.Progress.INVALID -> {
                close()
                fail(AttemptFailure.BAD_ANSWER)
            }
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!responseComplete) return
        responseComplete = false
        if (open && requestWritten) pool.release(this) else close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        reusable = false
        pool.onClosed(this)
        fail(AttemptFailure.CONNECTION_LOST)
    }

    /**
     * Closes the connection and fails the request in flight. After a reset even a response without a length, which ends
     * with its connection, is incomplete.
     */
    @Deprecated("Overrides a deprecated method.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        close()
        fail(AttemptFailure.CONNECTION_LOST)
    }

    private fun finish(current: ResponseReader) {
        if (reader !== current) return
        reader = null
        // The next response has another reader, and the pool has to see that the connection is closed.
        readingPaused = false
        responseComplete = true
        reusable = reusable && current.reusable
        keepAliveMilliseconds = current.keepAliveMilliseconds
        current.call.onEnd()
    }

    private fun close() {
        reusable = false
        channel.close()
    }

    private fun fail(failure: AttemptFailure) {
        val current = reader ?: return
        reader = null
        current.call.onFailure(failure)
    }
}
