package org.quetzalloom.relay.http

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpClientCodec
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpUtil

/** Receives the response to a call, whatever its status, or a description of why there is none. */
public typealias CallListener = (Result<FullHttpResponse, String>) -> Unit

/**
 * An HTTP client for calls with short responses, which are aggregated. Confined to the event loop's thread.
 *
 * Keep-alive connections are pooled by address. A connection whose call times out is closed.
 */
public class CallClient internal constructor(private val group: EventLoopGroup) {
    private val idle = HashMap<Address, ArrayDeque<Connection>>()

    /**
     * Sends [request] to [address], and calls [listener] once, at the latest after [timeoutMilliseconds].
     *
     * Takes ownership of [request]. The response is released after [listener] returns. A call that failed may still
     * have been carried out.
     */
    public fun call(address: Address, request: FullHttpRequest, timeoutMilliseconds: Long, listener: CallListener) {
        val reused = takeIdle(address)
        val connection = reused ?: Connection(address)
        connection.begin(listener, timeoutMilliseconds)
        if (reused != null) reused.send(request) else connect(connection, request)
    }

    private fun takeIdle(address: Address): Connection? {
        val connections = idle[address]
        connections?.removeAll { !it.isOpen }
        return connections?.removeLastOrNull()
    }

    private fun connect(connection: Connection, request: FullHttpRequest) {
        val bootstrap = Bootstrap().group(group)
            .channel(NioSocketChannel::class.java)
            .withRelayOptions()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
            .handler(Initializer(connection))
        bootstrap.connect(connection.address.toSocketAddress()).addListener { future ->
            if (future.isSuccess) {
                connection.send(request)
            } else {
                request.release()
                connection.complete(Err("cannot connect: ${future.cause().message}"))
            }
        }
    }

    private class Initializer(private val connection: Connection) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpClientCodec(), HttpObjectAggregator(MAXIMUM_RESPONSE_BYTES), connection)
        }
    }

    private inner class Connection(val address: Address) : SimpleChannelInboundHandler<FullHttpResponse>() {
        private var channel: Channel? = null
        private var listener: CallListener? = null
        private val timeout = RestartableTimer(group.next())

        val isOpen: Boolean get() = channel?.isActive ?: false

        fun begin(listener: CallListener, timeoutMilliseconds: Long) {
            this.listener = listener
            timeout.restart(timeoutMilliseconds) { timeOut() }
        }

        fun send(request: FullHttpRequest) {
            val open = channel
            if (listener == null || open == null) {
                request.release()
                open?.close()
            } else {
                // A failed write closes the connection, which would otherwise end a response without a length.
                open.writeAndFlush(request).addListener { written ->
                    written.cause()?.let { complete(Err("the request could not be sent: $it")) }
                }
            }
        }

        fun complete(result: Result<FullHttpResponse, String>) {
            timeout.cancel()
            val current = listener ?: return
            listener = null
            current(result)
        }

        override fun handlerAdded(context: ChannelHandlerContext) {
            channel = context.channel()
        }

        override fun channelRead0(context: ChannelHandlerContext, response: FullHttpResponse) {
            val failure = response.decoderResult().cause()
            if (listener == null || failure != null || !HttpUtil.isKeepAlive(response)) {
                context.close()
            } else {
                idle.getOrPut(address) { ArrayDeque() }.addLast(this)
            }
            complete(if (failure == null) Ok(response) else Err("the response is not whole: ${failure.message}"))
        }

        override fun channelInactive(context: ChannelHandlerContext) {
            idle[address]?.remove(this)
            complete(Err("the connection was closed"))
        }

        @Deprecated("Overrides a deprecated method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
            complete(Err("the connection failed: ${cause.message}"))
            context.close()
        }

        private fun timeOut() {
            complete(Err("no answer in time"))
            channel?.close()
        }
    }

    private companion object {
        /** The store answers within a few milliseconds, and a lost packet is retransmitted within this time. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 500

        /** Larger than any page of the store's newest records. */
        const val MAXIMUM_RESPONSE_BYTES = 8 * 1_024 * 1_024
    }
}
