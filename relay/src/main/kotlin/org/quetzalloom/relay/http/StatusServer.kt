package org.quetzalloom.relay.http

import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import org.quetzalloom.relay.head.MessageMemory

/** Serves one page per listener, whatever the path: the readiness of the process, or its metrics. */
internal class StatusServer(private val group: EventLoopGroup, private val memory: MessageMemory) {
    /**
     * The content of a response.
     *
     * @property ok whether the status is 200; otherwise it is 503.
     */
    class Page(val ok: Boolean, val text: String)

    /**
     * Listens at [address], and answers each request with the current result of [page].
     *
     * Blocks until the address is bound, and throws if it cannot be.
     */
    fun listen(address: Address, page: () -> Page) {
        ShortRequestServer(group, memory, MAXIMUM_REQUEST_BYTES) { Handler(page) }.listen(address)
    }

    private class Handler(private val page: () -> Page) : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val invalid = request.decoderResult().isFailure
            // A client that sends more requests without reading the responses would have them pile up here.
            if (invalid || !context.channel().isWritable) {
                context.close()
                return
            }
            val content = page()
            val status = if (content.ok) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE
            val body = Unpooled.copiedBuffer(content.text, Charsets.UTF_8)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, CONTENT_TYPE)
            val written = context.writeAndFlush(response)
            if (!HttpUtil.isKeepAlive(request)) written.addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Overrides a deprecated method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            cause.endProcessIfOutOfMemory()
            context.close()
        }
    }

    private companion object {
        /** The content type of the Prometheus text format; health checks ignore it. */
        const val CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

        /** Health checks and metric scrapes have no body, or a tiny one. */
        const val MAXIMUM_REQUEST_BYTES = 4_096
    }
}
