package org.quetzalloom.relay.http

import com.github.michaelbull.result.Result
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.FullHttpResponse
import io.netty.handler.codec.http.HttpRequestEncoder

/** Receives the whole response to a call, whatever its status, or a description of why there is none. */
public typealias CallListener = (Result<FullHttpResponse, String>) -> Unit

/**
 * An HTTP client for calls with short responses, which are aggregated. Confined to the event loop's thread.
 *
 * Keep-alive connections are pooled by address. A connection whose call times out is closed. [group] has one event loop.
 */
public class CallClient(private val group: EventLoopGroup) {
    private val idle = HashMap<Address, ArrayDeque<CallConnection>>()

    /**
     * Sends [request] to [address], and calls [listener] once, at the latest after [timeoutMilliseconds].
     *
     * Takes ownership of [request]. The response has a status and a body, and is valid until [listener] returns. A call
     * that failed may still have been carried out.
     */
    public fun call(address: Address, request: FullHttpRequest, timeoutMilliseconds: Long, listener: CallListener) {
        val reused = takeIdle(address)
        val connection = reused ?: newConnection(address)
        connection.begin(listener, timeoutMilliseconds)
        if (reused != null) reused.send(request) else connect(address, connection, request)
    }

    private fun takeIdle(address: Address): CallConnection? {
        val connections = idle[address]
        connections?.removeAll { !it.isOpen }
        return connections?.removeLastOrNull()
    }

    private fun newConnection(address: Address) = CallConnection(
        timeout = RestartableTimer(group.next()),
        onIdle = { idle.getOrPut(address) { ArrayDeque() }.addLast(it) },
        onClosed = { idle[address]?.remove(it) },
    )

    private fun connect(address: Address, connection: CallConnection, request: FullHttpRequest) {
        val bootstrap = Bootstrap().group(group)
            .channel(NioSocketChannel::class.java)
            .withRelayOptions()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
            .handler(Initializer(connection))
        bootstrap.connect(address.toSocketAddress()).addListener { future ->
            if (future.isSuccess) {
                connection.send(request)
            } else {
                request.release()
                connection.fail("cannot connect: ${future.cause().message}")
            }
        }
    }

    private class Initializer(private val connection: CallConnection) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpRequestEncoder(), connection)
        }
    }

    private companion object {
        /** The store answers within a few milliseconds, and a lost packet is retransmitted within this time. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 500
    }
}
