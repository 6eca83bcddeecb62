package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.HttpContent
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.handler.codec.http.HttpUtil
import io.netty.handler.codec.http.HttpVersion
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.relay.http.AnswerDecoder
import org.quetzalloom.relay.http.MessageCodec

/**
 * One connection to a backend server, which serves one request at a time.
 *
 * An answer to another request is read and dropped, and the connection is not used again after the next one. Bytes that come
 * while no request is under way close it.
 */
internal class BackendConnection(
    private val pool: BackendPool,
    private val codec: MessageCodec,
    private val decoder: AnswerDecoder,
) : ChannelInboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var call: BackendCall? = null
    private var skipping = false
    private var reusable = true
    private var written = true
    private var idlePending = false
    private var broken = false

    /** How long the backend server keeps the connection when it is idle, in milliseconds, or `null` if it did not say. */
    var keepAliveMilliseconds: Long? = null
        private set

    /** Since when no request is under way. */
    var idleSince: Timestamp = Timestamp.EPOCH

    /** Whether the connection can be used. */
    val open: Boolean get() = channel.isActive && reusable

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    /** Sends the request of [call] with [headers]. */
    fun send(call: BackendCall, headers: HttpHeaders) {
        this.call = call
        call.sentOn(this)
        val head = call.exchange.head
        val body = call.exchange.body.retainedDuplicate()
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, head.method(), head.uri(), body)
        request.headers().add(headers)
        if (hasBody(call, body)) request.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        decoder.method = head.method()
        written = false
        channel.writeAndFlush(request).addListener { written = true }
    }

    /** Closes the connection; nothing more is told of it. */
    fun abandon() {
        call = null
        reusable = false
        channel.close()
    }

    /** Stops or goes on reading. */
    fun pause(paused: Boolean) {
        channel.config().isAutoRead = !paused
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        try {
            read(message)
        } finally {
            ReferenceCountUtil.release(message)
        }
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        if (!idlePending) return
        idlePending = false
        if (open && written) pool.idle(this) else close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        reusable = false
        pool.closed(this)
        fail(AttemptFailure.CONNECTION_LOST)
    }

    @Deprecated("the supertype's method is")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        broken = true
        close()
    }

    private fun read(message: Any) {
        if (call == null || broken) return surplus()
        if (message is HttpResponse) begin(message)
        if (message is HttpContent && call != null) add(message)
    }

    /** Bytes that belong to no request make the connection useless. */
    private fun surplus(): Unit = close()

    private fun begin(answer: HttpResponse) {
        val current = call ?: return
        skipping = answer.status().codeClass() == HttpStatusClass.INFORMATIONAL
        when {
            answer.decoderResult().isFailure -> failAndClose(AttemptFailure.BAD_ANSWER)
            skipping -> Unit
            !codec.belongs(current.exchange.request, answer) -> {
                skipping = true
                reusable = false
            }
            answer.headers().contains(HttpHeaderNames.CONTENT_ENCODING) -> failAndClose(AttemptFailure.BAD_ANSWER)
            else -> {
                keepAliveMilliseconds = keepAliveOrNull(answer.headers())
                if (!HttpUtil.isKeepAlive(answer) || !isFramed(answer)) reusable = false
                current.takeHead(answer)
            }
        }
    }

    private fun add(content: HttpContent) {
        val current = call ?: return
        if (content.decoderResult().isFailure) return failAndClose(AttemptFailure.BAD_ANSWER)
        if (skipping) return
        if (content.content().isReadable) current.takeBody(content.content())
        if (content is LastHttpContent && call === current) {
            call = null
            idlePending = true
            current.takeEnd()
        }
    }

    private fun isFramed(answer: HttpResponse): Boolean =
        HttpUtil.isContentLengthSet(answer) || HttpUtil.isTransferEncodingChunked(answer)

    private fun failAndClose(failure: AttemptFailure) {
        reusable = false
        fail(failure)
        channel.close()
    }

    private fun close() {
        reusable = false
        channel.close()
    }

    private fun fail(failure: AttemptFailure) {
        val current = call ?: return
        call = null
        current.takeFailure(failure)
    }

    private fun hasBody(call: BackendCall, body: ByteBuf): Boolean =
        body.isReadable || call.exchange.head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)

    private companion object {
        const val MILLISECONDS_PER_SECOND = 1_000L
        val TIMEOUT = Regex("""timeout\s*=\s*(\d+)""")

        fun keepAliveOrNull(headers: HttpHeaders): Long? = headers.get("Keep-Alive")
            ?.let { TIMEOUT.find(it) }
            ?.let { it.groupValues[1].toLongOrNull() }
            ?.let { it * MILLISECONDS_PER_SECOND }
    }
}
