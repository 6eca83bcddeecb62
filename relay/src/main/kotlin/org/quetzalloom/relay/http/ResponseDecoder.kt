package org.quetzalloom.relay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponseDecoder

/** Decodes responses. It has to know the request method, because a response to `HEAD` has a length but no body. */
internal class ResponseDecoder : HttpResponseDecoder() {
    /** The method of the request in flight. */
    var method: HttpMethod = HttpMethod.GET

    /** Whether the input has ended, and with it a response without a length. */
    var inputEnded = false
        private set

    override fun decodeLast(context: ChannelHandlerContext, input: ByteBuf, output: MutableList<Any>) {
        inputEnded = true
        super.decodeLast(context, input, output)
    }

    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        method == HttpMethod.HEAD || super.isContentAlwaysEmpty(message)
}
