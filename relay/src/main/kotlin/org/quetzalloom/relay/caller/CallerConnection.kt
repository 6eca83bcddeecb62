package org.quetzalloom.relay.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.io.IOException

/**
 * One connection of a caller. Hands on one request after the other, the next once the one before is answered.
 *
 * It goes on reading while a request is under way, and so notices at once that the caller has gone.
 */
internal class CallerConnection(private val server: CallerServer) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val pipelined = ArrayDeque<CallerMessage.Complete>()
    private var active: CallerExchange? = null
    private var receiving = false
    private var rejected = false

    /** Closes this connection. */
    lateinit var gracefulClose: GracefulClose
        private set

    /** Whether the connection ends with the answer that is under way. */
    val closesAfterResponse: Boolean get() = server.draining || rejected

    override fun channelActive(context: ChannelHandlerContext) {
        this.context = context
        gracefulClose = GracefulClose(context.channel())
        server.onOpened(this)
        gracefulClose.closeAfter(server.limits.idleMilliseconds)
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
        active?.call?.pauseReading(!context.channel().isWritable)
    }

    @Deprecated("the supertype's method is")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) server.handler.reportProblem("caller_connection_failed", cause)
        context.close()
    }

    /** Tells that the answer to the request under way has been written. */
    fun onResponseWritten() {
        active = null
        if (rejected || gracefulClose.closing) return
        val next = pipelined.removeFirstOrNull()
        if (next != null) dispatch(next) else if (!receiving) gracefulClose.closeAfter(server.limits.idleMilliseconds)
    }

    /** Closes the connection if no request is being read or answered. */
    fun closeIfIdle() {
        if (active == null && !receiving && pipelined.isEmpty()) gracefulClose.close()
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

    /** An answer that is under way ends first, and the connection with it. */
    private fun reject(request: CallerMessage.Rejected) {
        if (gracefulClose.closing) return
        rejected = true
        if (active == null) {
            val response = ResponseWriter(this, context.channel(), request.head)
            server.handler.refuse(response, request.kind, request.detail, retryAfterMilliseconds = null)
        }
    }

    private companion object {
        /** Requests that a caller may send ahead on one connection. */
        const val MAXIMUM_PIPELINED_REQUESTS = 4
    }
}
