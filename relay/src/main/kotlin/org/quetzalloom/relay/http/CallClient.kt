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
import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.collection.without

/** Receives the whole response to a call, whatever its status, or the reason why there is none. */
public typealias CallListener = (Result<FullHttpResponse, CallFailure>) -> Unit

/**
 * An HTTP client for calls with short responses, which are aggregated. Confined to the event loop's thread.
 *
 * Keep-alive connections are pooled by address and purpose. Responses do not name their calls, so that a late copy of
 * one can be taken only for the response to a later call of the same purpose. A connection whose call times out is
 * closed.
 *
 * @param group has one event loop.
 * @param singleHeaders headers that a response has at most once, in addition to those of HTTP.
 */
public class CallClient(
    private val group: EventLoopGroup,
    private val singleHeaders: Set<String> = emptySet(),
) {
    private var idle = persistentMapOf<Destination, PersistentList<CallConnection>>()

    /**
     * Sends [request] to [address], and calls [listener] once, at the latest after [timeoutMilliseconds].
     *
     * Takes ownership of [request]. The response is valid until [listener] returns. A call that failed may still have
     * been carried out.
     *
     * @param purpose names the calls with which this one may share a connection; `null` for a connection of its own.
     */
    public fun call(
        address: Address,
        request: FullHttpRequest,
        timeoutMilliseconds: Long,
        purpose: String?,
        listener: CallListener,
    ): ActiveCall {
        val destination = purpose?.let { Destination(address, it) }
        val reused = destination?.let { takeIdle(it) }
        val connection = reused ?: newConnection(destination)
        connection.begin(listener, timeoutMilliseconds)
        if (reused != null) reused.send(request) else connect(address, connection, request)
        return ActiveCall { if (connection.listener === listener) connection.fail("the call was cancelled") }
    }

    private fun takeIdle(destination: Destination): CallConnection? {
        updateIdle(destination) { connections -> connections.without { !it.isOpen } }
        val newest = idle[destination]?.lastOrNull()
        newest?.let { taken -> updateIdle(destination) { it.remove(taken) } }
        return newest
    }

    private fun updateIdle(
        destination: Destination,
        change: (PersistentList<CallConnection>) -> PersistentList<CallConnection>,
    ) {
        val changed = change(idle[destination] ?: persistentListOf())
        idle = if (changed.isEmpty()) idle.remove(destination) else idle.put(destination, changed)
    }

    /** Returns a connection that is pooled for [destination], or not reused if that is `null`. */
    private fun newConnection(destination: Destination?) = CallConnection(
        timeout = RestartableTimer(group.next()),
        singleHeaders = singleHeaders,
        onIdle = destination?.let { { connection -> updateIdle(it) { idle -> idle.add(connection) } } },
        onClosed = { connection -> destination?.let { updateIdle(it) { idle -> idle.remove(connection) } } },
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
                connection.fail("cannot connect: ${future.cause().message}", mayHaveArrived = false)
            }
        }
    }

    private class Initializer(private val connection: CallConnection) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpRequestEncoder(), connection)
        }
    }

    /** The calls that may use the same connections. */
    private data class Destination(val address: Address, val purpose: String)

    private companion object {
        /** The store answers within a few milliseconds, and a lost packet is retransmitted within this time. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 500
    }
}
