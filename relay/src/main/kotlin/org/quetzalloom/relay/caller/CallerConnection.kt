package org.quetzalloom.relay.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.io.IOException

/**
 * One connection from a caller. Dispatches its requests one at a time, in order; pipelined requests wait.
 *
 * Reading continues while a request is in flight, so that a disconnected caller is noticed at once.
 */
internal class CallerConnection(private val server: CallerServer) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val pipelined = ArrayDeque<CallerMessage.Complete>()
    private var active: CallerExchange? = null
    private var receiving = false
    private var rejected = false
    private val idle: Boolean get() = active == null && !receiving && pipelined.isEmpty()

    /** Closes this connection gracefully, at once or after an idle timeout. */
    lateinit var gracefulClose: GracefulClose
        private set

    /** Whether the connection is to be closed after the current response. */
    val closesAfterResponse: Boolean get() = server.draining || rejected

    override fun channelActive(context: ChannelHandlerContext) {
        this.context = context
        gracefulClose = GracefulClose(context.channel())
        server.onOpened(this)
        gracefulClose.closeAfter(server.limits.idleTimeoutMilliseconds)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        gracefulClose.onClosed()
        server.onClosed(this)
        pipelined.forEach { it.body.release() }
        active?.let { server.handler.onCallerDisconnected(it) }
        active = null
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when (message) {
            is CallerMessage.Started -> {
                receiving = true
                gracefulClose.cancel()
            }
            is CallerMessage.Complete -> onRequest(message)
            is CallerMessage.Rejected -> reject(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        active?.call?.setReadingPaused(!context.channel().isWritable)
    }

    @Deprecated("Overrides a deprecated method.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        // I/O errors such as a connection reset are ordinary, and are not reported.
        if (cause !is IOException) server.handler.reportProblem("caller_connection_failed", cause)
        context.close()
    }

    /** Handles the end of the current response: dispatches the next pipelined request, or starts the idle timeout. */
    fun onResponseWritten() {
        active = null
        if (rejected || gracefulClose.closing) return
        val next = pipelined.removeFirstOrNull()
        if (next != null) {
            dispatch(next)
        } else {
            restartIdleTimeout()
        }
    }

    /** Starts the idle timeout anew if the connection has no request, neither in flight nor waiting nor partly received. */
    fun restartIdleTimeout() {
        if (idle) gracefulClose.closeAfter(server.limits.idleTimeoutMilliseconds)
    }

    /** Closes the connection if it has no request, neither in flight nor waiting nor partly received. */
    fun closeIfIdle() {
        if (idle) gracefulClose.close()
    }

    private fun onRequest(request: CallerMessage.Complete) {
        receiving = false
        when {
            gracefulClose.closing -> request.body.release()
            active == null -> dispatch(request)
            pipelined.size < MAXIMUM_PIPELINED_REQUESTS -> pipelined.add(request)
            else -> {
                request.body.release()
                context.close()
            }
        }
    }

    private fun dispatch(request: CallerMessage.Complete) {
        val response = ResponseWriter(this, context.channel(), request.head)
        active = server.handler.onRequest(request.head, request.body, response)
    }

    /**
     * Writes an error response, after which the connection is closed. If another response is in progress, that one is
     * completed instead, and the error response is not sent.
     */
    private fun reject(request: CallerMessage.Rejected) {
        if (gracefulClose.closing) return
        rejected = true
        if (active == null) {
            val response = ResponseWriter(this, context.channel(), request.head)
            server.handler.refuse(response, request.kind, request.detail, retryAfterMilliseconds = null)
        }
    }

    private companion object {
        /** The maximum number of requests that wait behind the one in flight. A further one closes the connection. */
        const val MAXIMUM_PIPELINED_REQUESTS = 4
    }
}
