package org.quetzalloom.relay.http

import com.github.michaelbull.result.fold
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelFutureListener
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.DefaultFullHttpResponse
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.relay.head.MessageMemory
import org.quetzalloom.relay.reader.ReaderServer

/**
 * Forwards calls of other routers to one target, without their headers, and returns the status and body of the
 * response, with those of its headers that are in [Forwarding.responseHeaders].
 *
 * A path that is not in [Forwarding.paths] is answered 404, and a call that fails or times out 502. A request that is
 * truncated or malformed is answered 400, and its connection is closed. Calls are not retried.
 *
 * Calls that [readers] accepts are answered by this router itself.
 *
 * On [Forwarding.sharedPaths] a call joins an equal one that is under way and gets the same response. So many routers
 * that wait for the same records cost one call.
 */
internal class CallForwarder(
    private val group: EventLoopGroup,
    private val client: CallClient,
    private val forwarding: Forwarding,
    private val memory: MessageMemory,
    private val readers: ReaderServer? = null,
) {
    /** The callers that wait for the response to each shared call that is under way, by its URI. */
    private var sharedCalls = persistentMapOf<String, PersistentList<ChannelHandlerContext>>()

    /** The number of calls that have not been answered. */
    private var callersWaiting = 0

    /** Listens for calls at [address]. Blocks until the address is bound, and throws if it cannot be. */
    fun listen(address: Address) {
        ShortRequestServer(group, memory, MAXIMUM_REQUEST_BYTES) { Handler() }.listen(address)
    }

    private inner class Handler : SimpleChannelInboundHandler<FullHttpRequest>() {
        override fun channelRead0(context: ChannelHandlerContext, request: FullHttpRequest) {
            val path = request.uri().substringBefore('?')
            when {
                request.decoderResult().isFailure -> reject(context, request.decoderResult().cause())
                readers != null && readers.accepts(path) ->
                    readers.receive(request.uri()) { status, body, headers -> context.respond(status, body, headers) }
                callersWaiting >= MAXIMUM_CALLERS -> context.respond(
                    HttpResponseStatus.SERVICE_UNAVAILABLE,
                    text("too many calls are being forwarded")
                )
                path !in forwarding.paths ->
                    context.respond(HttpResponseStatus.NOT_FOUND, text("this path is not forwarded"))
                path in forwarding.sharedPaths -> joinOrForward(context, request)
                else -> forward(request, purpose = null) { persistentListOf(context) }
            }
        }

        /** The end of an invalid request is unknown, so that no other request can follow on its connection. */
        private fun reject(context: ChannelHandlerContext, problem: Throwable) {
            context.respond(HttpResponseStatus.BAD_REQUEST, text("the request is not whole: ${problem.message}"))
                .addListener(ChannelFutureListener.CLOSE)
        }

        @Deprecated("Overrides a deprecated method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            context.close()
        }
    }

    private fun joinOrForward(context: ChannelHandlerContext, request: FullHttpRequest) {
        val uri = request.uri()
        val waiting = sharedCalls[uri]
        sharedCalls = sharedCalls.put(uri, (waiting ?: persistentListOf()).add(context))
        if (waiting != null) {
            callersWaiting++
            return
        }
        forward(request, purpose = uri.substringBefore('?')) {
            val callers = sharedCalls[uri] ?: persistentListOf()
            sharedCalls = sharedCalls.remove(uri)
            callers
        }
    }

    /**
     * Forwards [request] and passes the response on to all [callers] at that time.
     *
     * [purpose] names the calls with which it shares connections. It is `null` where the response is about the calling
     * router, which must not get a late copy of the response to another.
     */
    private fun forward(request: FullHttpRequest, purpose: String?, callers: () -> List<ChannelHandlerContext>) {
        callersWaiting++
        client.call(forwarding.target, request.copyForTarget(), CALL_TIMEOUT_MILLISECONDS, purpose) { result ->
            val waiting = callers()
            callersWaiting -= waiting.size
            waiting.forEach { caller ->
                result.fold(
                    success = { caller.respond(it.status(), it.content().retainedDuplicate(), it.passedOnHeaders()) },
                    failure = { caller.respond(HttpResponseStatus.BAD_GATEWAY, text(it.problem)) },
                )
            }
        }
    }

    /** Returns a copy of this request for the target, without the headers of the original. */
    private fun FullHttpRequest.copyForTarget(): FullHttpRequest {
        val request = DefaultFullHttpRequest(HttpVersion.HTTP_1_1, method(), uri(), content().retain())
        request.headers().set(HttpHeaderNames.HOST, forwarding.target.toString())
        request.headers().set(HttpHeaderNames.CONTENT_LENGTH, content().readableBytes())
        return request
    }

    private fun FullHttpResponse.passedOnHeaders(): Map<String, List<String>> =
        forwarding.responseHeaders.associateWith { headers().getAll(it) }

    private fun ChannelHandlerContext.respond(
        status: HttpResponseStatus,
        body: ByteBuf,
        headers: Map<String, List<String>> = emptyMap(),
    ): ChannelFuture {
        val response: FullHttpResponse = DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, body)
        headers.forEach { (name, values) -> response.headers().add(name, values) }
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes())
        return writeAndFlush(response)
    }

    private fun text(problem: String): ByteBuf = Unpooled.copiedBuffer("$problem\n", Charsets.UTF_8)

    private companion object {
        /** Slightly longer than a router's longest timeout: a read waits 1.5 s for a record, plus 0.9 s. */
        const val CALL_TIMEOUT_MILLISECONDS = 2_500L

        /** More than the routers of the largest fleet make at a time. */
        const val MAXIMUM_CALLERS = 2_048

        /** Calls carry at most one record, of a few hundred bytes. */
        const val MAXIMUM_REQUEST_BYTES = 64 * 1_024
    }
}
