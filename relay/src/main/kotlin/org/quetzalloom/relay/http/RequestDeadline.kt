package org.quetzalloom.relay.http

import io.netty.channel.ChannelDuplexHandler
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelPromise
import io.netty.handler.codec.http.HttpDecoderConfig
import org.quetzalloom.relay.head.ConnectionMemory
import org.quetzalloom.relay.head.releaseLatestHeaders

/**
 * Closes a connection on which the first byte of a request is not followed by a response in time, and ends the count of
 * its memory.
 *
 * @param config the configuration of the connection's decoder.
 */
internal class RequestDeadline(
    private val memory: ConnectionMemory,
    private val config: HttpDecoderConfig,
) : ChannelDuplexHandler() {
    private lateinit var timer: RestartableTimer
    private var waiting = false

    override fun handlerAdded(context: ChannelHandlerContext) {
        timer = RestartableTimer(context.executor())
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        if (!waiting) {
            waiting = true
            timer.restart(RESPONSE_MILLISECONDS) { context.close() }
        }
        context.fireChannelRead(message)
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        waiting = false
        timer.cancel()
        context.write(message, promise)
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        timer.cancel()
        config.releaseLatestHeaders()
        memory.close()
        context.fireChannelInactive()
    }

    private companion object {
        /** Longer than the longest call that is forwarded takes. */
        const val RESPONSE_MILLISECONDS = 5_000L
    }
}
