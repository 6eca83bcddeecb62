package org.quetzalloom.relay.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import org.quetzalloom.relay.head.ConnectionMemory
import java.io.IOException

/**
 * One connection from a caller. Answers its requests one at a time, in order; pipelined requests wait, and so does the
 * rejection of an invalid one. While unread responses make memory scarce, a request is begun only when the socket has
 * taken the responses to those before it.
 *
 * Reading continues while a request is in flight, so that a disconnected caller is noticed at once. It pauses while
 * many requests wait.
 *
 * @param memory counts the memory of the connection.
 * @param unread counts what the caller has not read.
 */
internal class CallerConnection(
    private val server: CallerServer,
    private val memory: ConnectionMemory,
    private val unread: UnreadBytes,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val waiting = ArrayDeque<CallerMessage>()
    private var active: CallerExchange? = null
    private var receiving = false
    private var rejecting = false
    private var answering = false
    private var lastResponseWritten = false
    private val mayAnswer: Boolean
        get() = active == null && unread.mayGrow && !lastResponseWritten && !gracefulClose.closing

    /** Whether the connection has no request, neither in flight nor waiting nor partly received. */
    private val idle: Boolean get() = active == null && !receiving && waiting.isEmpty()

    /** Closes this connection after a response or after an idle timeout. */
    lateinit var gracefulClose: GracefulClose
        private set

    private val written: Boolean get() = unread.memoryBytes == 0L

    /** Whether no request is being received or answered, and nothing waits to be written. */
    val done: Boolean get() = written && (idle || gracefulClose.closing)

    /** Whether no request has arrived in full that has no response yet, so that none is lost if the connection ends. */
    val expendable: Boolean get() = written && active == null && waiting.isEmpty()

    /** Whether the connection is to be closed after the current response: unless a request behind it has begun. */
    val closesAfterResponse: Boolean get() = waiting.isEmpty() && !receiving && (server.draining || rejecting)

    override fun channelActive(context: ChannelHandlerContext) {
        this.context = context
        gracefulClose = GracefulClose(context.channel())
        unread.onAllTaken = { if (waiting.isNotEmpty()) answerWaiting() }
        server.onOpened(this)
        gracefulClose.closeAfter(server.limits.idleTimeoutMilliseconds)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        gracefulClose.onClosed()
        server.onClosed(this)
        memory.close()
        waiting.filterIsInstance<CallerMessage.Complete>().forEach { it.body.release() }
        waiting.clear()
        active?.let { server.handler.onCallerDisconnected(it) }
        active = null
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when {
            message is CallerMessage.Started -> {
                receiving = true
                gracefulClose.cancel()
            }
            gracefulClose.closing -> (message as? CallerMessage.Complete)?.body?.release()
            message is CallerMessage -> {
                receiving = false
                waiting.add(message)
                if (waiting.size >= MAXIMUM_WAITING_REQUESTS) context.channel().config().isAutoRead = false
                // May be due to a timeout, without anything read.
                if (message is CallerMessage.Rejected) answerWaiting()
            }
        }
    }

    /** Answers the requests that have been read, unless the caller has closed the connection behind them. */
    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (waiting.isEmpty()) return
        // A close that has been read takes effect after this call.
        context.executor().execute { if (context.channel().isActive) answerWaiting() }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        active?.call?.readingPaused = !context.channel().isWritable
    }

    @Deprecated("Overrides a deprecated method.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        // I/O errors such as a connection reset are ordinary, and are not reported.
        if (cause !is IOException) server.handler.reportProblem("caller_connection_failed", cause)
        context.close()
    }

    /**
     * Handles the end of the current response: answers the requests that wait, or starts the idle timeout.
     *
     * @param closes whether the connection is about to be closed.
     */
    fun onResponseEnded(closes: Boolean) {
        active = null
        lastResponseWritten = closes
        if (closes || gracefulClose.closing) return
        answerWaiting()
        restartIdleTimeout()
    }

    /**
     * Starts the idle timeout anew if the connection is idle. Until the response has been written, it is longer by the
     * write timeout. It is 0 during a graceful stop, for a response that could not announce the close any more.
     */
    fun restartIdleTimeout() {
        val idleTimeout = if (server.draining) 0 else server.limits.idleTimeoutMilliseconds
        val writeTimeout = if (written) 0 else GracefulClose.WRITE_TIMEOUT_MILLISECONDS
        if (idle) gracefulClose.closeAfter(idleTimeout + writeTimeout)
    }

    /** Answers the requests that wait, up to the first whose response takes time. */
    private fun answerWaiting() {
        if (answering) return
        answering = true
        try {
            while (mayAnswer && waiting.isNotEmpty()) answer(waiting.removeFirst())
        } finally {
            answering = false
        }
        context.channel().config().isAutoRead = waiting.size < MAXIMUM_WAITING_REQUESTS
    }

    private fun answer(message: CallerMessage) {
        when (message) {
            CallerMessage.Started -> Unit
            is CallerMessage.Complete -> {
                val response = ResponseWriter(this, context.channel(), message.head)
                active = server.handler.onRequest(message.head, message.body, response)
            }
            is CallerMessage.Rejected -> {
                rejecting = true
                val response = ResponseWriter(this, context.channel(), message.head)
                server.handler.refuse(response, message.kind, message.detail, message.retryAfterMilliseconds)
            }
        }
    }

    private companion object {
        /** The number of requests that wait behind the one in flight from which on no more are read. */
        const val MAXIMUM_WAITING_REQUESTS = 4
    }
}
