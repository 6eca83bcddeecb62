package org.quetzalloom.relay.http

import io.netty.buffer.ByteBuf
import io.netty.channel.ChannelHandlerContext
import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpRequestDecoder
import org.quetzalloom.relay.head.CompactHeaders
import org.quetzalloom.relay.head.CompactHeadersFactory
import org.quetzalloom.relay.head.ConnectionMemory
import org.quetzalloom.relay.head.compactDecoderConfig
import org.quetzalloom.relay.head.releaseLatestHeaders

/**
 * Decodes requests, whose heads are counted from their first line. Rejects a request with both `Content-Length` and
 * `Transfer-Encoding`, because it is ambiguous where its body ends.
 */
internal class StrictRequestDecoder private constructor(
    private val memory: ConnectionMemory,
    private val config: HttpDecoderConfig,
) : HttpRequestDecoder(config) {
    /**
     * Creates a decoder of one connection.
     *
     * @param memory counts the memory of what has been received.
     */
    constructor(maximumHeaderBytes: Int, memory: ConnectionMemory) :
        this(memory, compactDecoderConfig(memory, maximumHeaderBytes).setMaxChunkSize(CHUNK_BYTES))

    /** The start of the request counts like the lines behind it. */
    override fun createMessage(initialLine: Array<String>): HttpMessage = super.createMessage(initialLine).also {
        (it.headers() as CompactHeaders).reserve(REQUEST_BYTES + initialLine.sumOf { part -> part.length })
    }

    override fun decode(context: ChannelHandlerContext, buffer: ByteBuf, output: MutableList<Any>) {
        super.decode(context, buffer, output)
        if (output.isNotEmpty()) (config.headersFactory as CompactHeadersFactory).handOver()
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        super.channelRead(context, message)
        if (!memory.countBuffer(internalBuffer().capacity())) context.fireUserEventTriggered(MemoryExhausted)
    }

    override fun handlerRemoved0(context: ChannelHandlerContext) {
        memory.countBuffer(0)
        config.releaseLatestHeaders()
    }

    override fun handleTransferEncodingChunkedWithContentLength(message: HttpMessage) {
        throw IllegalArgumentException("both Content-Length and Transfer-Encoding")
    }

    /** Tells the handlers behind the decoder that there is no room for the start of a line or a body. */
    data object MemoryExhausted

    private companion object {
        /** About what the objects of a request take beside its head and body. */
        const val REQUEST_BYTES = 2_048
        const val CHUNK_BYTES = 16_384
    }
}
