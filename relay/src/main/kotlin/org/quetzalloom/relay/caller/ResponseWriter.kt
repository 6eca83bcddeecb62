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
 * Writes the one answer to a request.
 *
 * @param connection the connection on which the request came.
 * @param channel the channel of that connection.
 */
internal class ResponseWriter(
    private val connection: CallerConnection,
    private val channel: Channel,
    private val request: HttpRequest,
) {
    private val keepAlive = HttpUtil.isKeepAlive(request)

    /** HTTP/1.0 knows no chunks: an answer without length then ends with the connection. */
    private val supportsChunked = request.protocolVersion().isKeepAliveDefault

    /** Whether the head of an answer has been written. */
    var headWritten = false
        private set

    /** Writes a whole answer. */
    fun writeWhole(status: HttpResponseStatus, headers: HttpHeaders, body: ByteBuf) {
        headWritten = true
        val response = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        response.headers().add(headers)
        if (hasBody(status)) response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        end(response)
    }

    /** Writes the head of an answer whose length is not known. */
    fun writeHead(status: HttpResponseStatus, headers: HttpHeaders) {
        headWritten = true
        val response = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
        response.headers().add(headers)
        if (supportsChunked) {
            response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED)
        }
        if (closesConnection()) response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        channel.write(response)
    }

    /** Writes a piece of the body; [bytes] are released. */
    fun write(bytes: ByteBuf) {
        channel.writeAndFlush(DefaultHttpContent(bytes))
    }

    /** Ends an answer that was begun. */
    fun finish(): Unit = end(LastHttpContent.EMPTY_LAST_CONTENT)

    /** Closes the connection without the end of the answer; resets it where that would look like the end. */
    fun abort() {
        if (!supportsChunked) channel.config().setOption(ChannelOption.SO_LINGER, 0)
        channel.close()
    }

    private fun end(last: LastHttpContent) {
        if (last is DefaultFullHttpResponse && closesConnection()) {
            last.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE)
        }
        val closeAfterwards = closesConnection()
        val written = channel.writeAndFlush(last)
        if (closeAfterwards) {
            written.addListener(ChannelFutureListener { connection.gracefulClose.close() })
        }
        connection.onResponseWritten()
    }

    private fun closesConnection(): Boolean = !keepAlive || connection.closesAfterResponse || !supportsChunked

    private fun hasBody(status: HttpResponseStatus): Boolean =
        request.method() != HttpMethod.HEAD && status != HttpResponseStatus.NO_CONTENT &&
            status != HttpResponseStatus.NOT_MODIFIED
}
