package org.quetzalloom.relay.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import java.io.IOException

/**
 * One connection of a caller. Hands on one request after the other, the next once the one before is answered.
 *
 * It goes on reading while a request is under way, and so notices at once that the caller has gone.
 */
internal class CallerConnection(private val front: CallerFront) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private val waiting = ArrayDeque<CallerMessage.Whole>()
    private var active: CallerExchange? = null
    private var arriving = false
    private var rejected = false

    /** Closes this connection. */
    lateinit var closer: GentleClose
        private set

    /** Whether the connection ends with the answer that is under way. */
    val closesAfterAnswer: Boolean get() = front.stopping || rejected

    override fun channelActive(context: ChannelHandlerContext) {
        this.context = context
        closer = GentleClose(context.channel())
        front.opened(this)
        closer.closeAfter(front.limits.idleTimeoutMilliseconds)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        closer.closed()
        front.closed(this)
        waiting.forEach { it.body.release() }
        active?.let { front.handler.callerLeft(it) }
        active = null
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        when (message) {
            is CallerMessage.Begun -> {
                arriving = true
                closer.cancel()
            }
            is CallerMessage.Whole -> take(message)
            is CallerMessage.Rejected -> reject(message)
        }
    }

    override fun channelWritabilityChanged(context: ChannelHandlerContext) {
        active?.call?.pause(!context.channel().isWritable)
    }

    @Deprecated("the supertype's method is")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        if (cause !is IOException) front.handler.reportProblem("caller_connection_failed", cause)
        context.close()
    }

    /** Tells that the answer to the request under way has been written. */
    fun answered() {
        active = null
        if (rejected || closer.closing) return
        val next = waiting.removeFirstOrNull()
        if (next != null) hand(next) else if (!arriving) closer.closeAfter(front.limits.idleTimeoutMilliseconds)
    }

    /** Closes the connection if no request is being read or answered. */
    fun closeIfIdle() {
        if (active == null && !arriving && waiting.isEmpty()) closer.close()
    }

    private fun take(request: CallerMessage.Whole) {
        arriving = false
        when {
            closer.closing -> request.body.release()
            active == null -> hand(request)
            waiting.size < MOST_WAITING -> waiting.add(request)
            else -> {
                request.body.release()
                context.close()
            }
        }
    }

    private fun hand(request: CallerMessage.Whole) {
        val answer = AnswerWriter(this, context.channel(), request.head)
        active = front.handler.arrived(request.head, request.body, answer)
    }

    /** An answer that is under way ends first, and the connection with it. */
    private fun reject(request: CallerMessage.Rejected) {
        if (closer.closing) return
        rejected = true
        if (active == null) {
            val answer = AnswerWriter(this, context.channel(), request.head)
            front.handler.refuse(answer, request.kind, request.detail, retryAfterMilliseconds = null)
        }
    }

    private companion object {
        /** Requests that a caller may send ahead on one connection. */
        const val MOST_WAITING = 4
    }
}
