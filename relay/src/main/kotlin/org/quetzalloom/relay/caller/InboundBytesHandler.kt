package org.quetzalloom.relay.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Tells [reader] of bytes before the decoder has made anything of them. */
internal class InboundBytesHandler(private val reader: RequestReader) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        reader.onBytesReceived()
        context.fireChannelRead(message)
    }
}
