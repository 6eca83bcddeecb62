package org.quetzalloom.relay.http

import io.netty.buffer.Unpooled
import io.netty.channel.Channel
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
import java.net.InetSocketAddress

/** Serves the pages of a listener: the readiness of the process, its metrics, or what it knows of a request. */
internal class StatusServer(private val group: EventLoopGroup, private val memory: MessageMemory) {
    /** The content of a response. */
    class Page(val status: HttpResponseStatus, val text: String, val contentType: String = TEXT) {
        /** A page of status 200 if [ok], and otherwise of 503. */
        constructor(ok: Boolean, text: String) :
            this(if (ok) HttpResponseStatus.OK else HttpResponseStatus.SERVICE_UNAVAILABLE, text)
    }

    /**
     * A request for a page.
     *
     * @property isLocal whether it comes from this machine.
     */
    class PageRequest(val uri: String, val isLocal: Boolean)

    /**
     * Listens at [address], and answers each request with the current result of [page].
     *
     * Blocks until the address is bound, and throws if it cannot be.
     */
    fun listen(address: Address, page: (PageRequest) -> Page) {
        ShortRequestServer(group, memory, MAXIMUM_REQUEST_BYTES) { Handler(page) }.listen(address)
    }

    private class Handler(private val page: (PageRequest) -> Page) : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val invalid = request.decoderResult().isFailure
            // A client that sends more requests without reading the responses would have them pile up here.
            if (invalid || !context.channel().isWritable) {
                context.close()
                return
            }
            val content = page(PageRequest(request.uri(), context.channel().isLocal()))
            val body = Unpooled.copiedBuffer(content.text, Charsets.UTF_8)
            val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, content.status, body)
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, content.contentType)
            val written = context.writeAndFlush(response)
            if (!HttpUtil.isKeepAlive(request)) written.addListener(ChannelFutureListener.CLOSE)
        }

        private fun Channel.isLocal(): Boolean {
            val remote = (remoteAddress() as? InetSocketAddress)?.address ?: return false
            return remote.isLoopbackAddress || remote == (localAddress() as? InetSocketAddress)?.address
        }

        @Deprecated("Overrides a deprecated method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            cause.endProcessIfOutOfMemory()
            context.close()
        }
    }

    private companion object {
        /** The content type of the Prometheus text format; health checks ignore it. */
        const val TEXT = "text/plain; version=0.0.4; charset=utf-8"

        /** Health checks and metric scrapes have no body, or a tiny one. */
        const val MAXIMUM_REQUEST_BYTES = 4_096
    }
}
