package org.quetzalloom.relay.caller

import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter

/** Notifies [reader] of received bytes before they are decoded, which starts the header timeout with the first byte. */
internal class InboundBytesHandler(private val reader: RequestReader) : ChannelInboundHandlerAdapter() {
    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        reader.onBytesReceived()
        context.fireChannelRead(message)
    }
}
