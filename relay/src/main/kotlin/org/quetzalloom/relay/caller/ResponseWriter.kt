package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelOption
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.DefaultHttpContent
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaderValues
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent

/**
 * Writes the response to a request: either [writeWhole] once, or [writeHead], any number of [write], and [finish].
 *
 * @param connection the connection on which the request arrived.
 * @param channel the channel of that connection.
 * @param request the request, which is not kept: its memory is free before the response has been read.
 */
internal class ResponseWriter(
    private val connection: CallerConnection,
    private val channel: Channel,
    request: HttpRequest,
) {
    private val method = request.method()
    private val keepAlive = HttpUtil.isKeepAlive(request)

    /** HTTP/1.0 has no chunked encoding. Its connections are closed after each response, which ends the body. */
    private val supportsChunked = request.protocolVersion().isKeepAliveDefault

    private var announcedClose = false

    /** Whether the caller reads what is written. */
    val isWritable: Boolean get() = channel.isWritable

    /** Whether the head of the response has been written. */
    var headWritten = false
        private set

    /** Writes a complete response. Takes ownership of [body]. */
    fun writeWhole(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        headWritten = true
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        response.headers().add(headers)
        if (hasBody(status)) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        selectMethod()
        end(response)
    }

    /** Writes the head of a response of unknown length. */
    fun writeHead(status: HttpResponseStatus, headers: HttpHeaders) {
        headWritten = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().add(headers)
        if (supportsChunked) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        announcedClose = closesConnection()
        if (announcedClose) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        selectMethod()
        channel.write(response)
    }

    /** Writes a part of the body. Takes ownership of [bytes]. */
    fun write(bytes: ByteBuf) {
        channel.writeAndFlush(DefaultHttpContent(bytes))
    }

    /** Ends a response that was begun with [writeHead]. */
    fun finish(): Unit = end(LastHttpContent.EMPTY_LAST_CONTENT)

    /**
     * Closes the connection before the end of the response. A response that would end with its connection is reset, so
     * that the caller does not take it for complete.
     */
    fun abort() {
        if (!supportsChunked) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private fun selectMethod() {
        channel.pipeline().get(ResponseEncoder::class.java)?.method = method
    }

    private fun end(last: LastHttpContent) {
        if (last is DefaultFullHttpResponse) {
            announcedClose = closesConnection()
            if (announcedClose) last.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        val written = channel.writeAndFlush(last)
        connection.onResponseEnded(closes = announcedClose)
        written.addListener(
            ChannelFutureListener {
                if (announcedClose) connection.gracefulClose.close() else connection.restartIdleTimeout()
            },
        )
    }

    private fun closesConnection(): Boolean = !keepAlive || connection.closesAfterResponse || !supportsChunked

    private fun hasBody(status: HttpResponseStatus): Boolean =
        method != HttpMethod.HEAD && status != HttpResponseStatus.NO_CONTENT &&
            status != HttpResponseStatus.NOT_MODIFIED
}
