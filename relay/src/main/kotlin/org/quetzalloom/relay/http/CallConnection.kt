package org.quetzalloom.relay.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpObject
import io.netty.util.ReferenceCountUtil

/**
 * One keep-alive connection for calls, which carries one call at a time.
 *
 * The connection is closed if bytes arrive while no response is expected. A response is passed on, and the connection
 * returned to the pool, only after everything that was received together with the end of the response has been read, so
 * that surplus bytes are never taken for the response to the next call. For the same reason each response has a decoder
 * of its own, which is removed at the end of the response.
 *
 * @param singleHeaders headers that a response has at most once, in addition to those of HTTP.
 * @param onIdle called when the connection can take another call; `null` if it is closed after its first call.
 * @param onClosed called when the connection has been closed.
 */
internal class CallConnection(
    private val timeout: RestartableTimer,
    private val singleHeaders: Set<String>,
    private val onIdle: ((CallConnection) -> Unit)?,
    private val onClosed: (CallConnection) -> Unit,
) : ChannelInboundHandlerAdapter() {
    private lateinit var context: ChannelHandlerContext
    private lateinit var decoder: ResponseDecoder
    private lateinit var requestWrite: ChannelFuture

    /** Receives the result of the call in progress; `null` if there is none. */
    var listener: CallListener? = null
        private set

    /** The response that is expected or being received. */
    private var expected: CallResponse? = null

    /** The whole response, until everything that was received with it has been read. */
    private var received: CallResponse? = null
    private var surplus = false

    private val channel: Channel get() = context.channel()

    /** Whether the connection can take another call. */
    val isOpen: Boolean get() = channel.isActive && !surplus

    /** Begins a call, the result of which goes to [listener] after [timeoutMilliseconds] at the latest. */
    fun begin(listener: CallListener, timeoutMilliseconds: Long) {
        this.listener = listener
        timeout.restart(timeoutMilliseconds) { fail("no answer in time") }
    }

    /** Sends [request], or closes the connection if the call has ended before. Takes ownership of [request]. */
    fun send(request: FullHttpRequest) {
        if (listener == null) {
            request.release()
            channel.close()
            return
        }
        decoder = ResponseDecoder(singleHeaders).also { it.method = request.method() }
        context.pipeline().addBefore(context.name(), null, decoder)
        expected = CallResponse()
        // A failed write closes the connection, which would otherwise end a response without a length.
        requestWrite = channel.writeAndFlush(request).addListener { written ->
            written.cause()?.let { complete(Err(CallFailure("the request could not be sent: $it"))) }
        }
    }

    /** Ends the call with the description [problem], and closes the connection. */
    fun fail(problem: String, mayHaveArrived: Boolean = true) {
        complete(Err(CallFailure(problem, mayHaveArrived)))
        if (::context.isInitialized) channel.close()
    }

    override fun handlerAdded(context: ChannelHandlerContext) {
        this.context = context
    }

    override fun channelRead(context: ChannelHandlerContext, message: Any) {
        val current = expected
        val progress = if (message is HttpObject) current?.read(message) else null
        ReferenceCountUtil.release(message)
        when (progress) {
            CallResponse.Progress.INCOMPLETE -> Unit
            CallResponse.Progress.COMPLETE -> {
                received = current
                expected = null
                // What the decoder has received behind the response follows undecoded.
                context.pipeline().remove(decoder)
            }
            CallResponse.Progress.INVALID -> fail("the response is not whole or cannot be decoded")
            null -> readSurplus()
        }
    }

    /** Closes the connection, but not before the response that the surplus follows has been passed on. */
    private fun readSurplus() {
        surplus = true
        if (received == null) fail("bytes arrived that belong to no response")
    }

    override fun channelReadComplete(context: ChannelHandlerContext) {
        val response = received ?: return
        received = null
        if (surplus && response.containsStatusLine(decoder.surplus)) return fail("another response begins in the body")
        val release = onIdle?.takeIf { isOpen && response.reusable && requestWrite.isSuccess }
        release?.invoke(this)
        complete(Ok(response.toFullResponse()))
        if (release == null) channel.close()
    }

    override fun channelInactive(context: ChannelHandlerContext) {
        onClosed(this)
        complete(Err(CallFailure("the connection was closed")))
    }

    @Deprecated("Overrides a deprecated method.")
    override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
        cause.endProcessIfOutOfMemory()
        fail("the connection failed: ${cause.message}")
    }

    private fun complete(result: Result<FullHttpResponse, CallFailure>) {
        timeout.cancel()
        val current = listener ?: return
        listener = null
        current(result)
    }
}
