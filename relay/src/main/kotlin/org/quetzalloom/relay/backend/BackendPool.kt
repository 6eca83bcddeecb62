package org.quetzalloom.relay.backend

import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.time.Clock
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.http.ResponseDecoder
import org.quetzalloom.relay.http.withRelayOptions

/**
 * Pools the connections to all backend servers by address. Confined to the event loop's thread.
 *
 * An idle connection is reused only well before the backend server's keep-alive timeout would close it.
 *
 * @param memory counts the heads of the responses.
 */
internal class BackendPool(
    private val group: EventLoopGroup,
    private val codec: MessageCodec,
    private val clock: Clock,
    private val memory: ResponseMemory,
) {
    /** The connections to one address; [connectingCount] are still being established. */
    private class Endpoint {
        val idle = ArrayDeque<BackendConnection>()
        val all = HashSet<BackendConnection>()
        var connectingCount = 0
    }

    private val endpoints = HashMap<String, Endpoint>()
    private val addresses = HashMap<BackendConnection, String>()

    /** The number of open connections, idle or in use. */
    val connectionCount: Int get() = addresses.size

    /** The number of connection attempts since the start, including failed ones. */
    var connectionAttempts: Long = 0
        private set

    /**
     * Sends [call] on an idle connection, or else on a new one. A request without an id gets a new one, as its response
     * names no request, and so does one that another router is to answer, as errors of that router name none either.
     *
     * The call fails with [AttemptFailure.NO_CONNECTION_LEFT] if its server's connection limit is reached, and with
     * [AttemptFailure.NOT_CONNECTED] if no connection can be established.
     */
    fun send(call: BackendCall) {
        val endpoint = endpoints.getOrPut(call.parameters.address) { Endpoint() }
        val mayReuse = call.parameters.server != null && call.exchange.request.callerId != null
        val reused = if (mayReuse) takeIdle(endpoint, call) else null
        when {
            reused != null -> reused.send(call, codec.encodeRequest(call.exchange.head, call.parameters))
            !hasRoom(endpoint, call.parameters.maximumConnections) ->
                call.onFailure(AttemptFailure.NO_CONNECTION_LEFT)
            else -> connect(endpoint, call)
        }
    }

    /** Connects to the backend server at [address], and keeps the connection for requests. */
    fun probe(address: String, maximumConnections: Int, onResult: (connected: Boolean) -> Unit) {
        val endpoint = endpoints.getOrPut(address) { Endpoint() }
        if (!hasRoom(endpoint, maximumConnections)) return onResult(false)
        connect(endpoint, address) { connection ->
            connection?.let { release(it) }
            onResult(connection != null)
        }
    }

    /** Returns whether [endpoint] may have one more connection, in place of an idle one if it must. */
    private fun hasRoom(endpoint: Endpoint, maximumConnections: Int): Boolean {
        val room = maximumConnections - endpoint.all.size - endpoint.connectingCount
        val replaced = if (room == 0) endpoint.idle.firstOrNull() else null
        replaced?.let {
            onClosed(it)
            it.abandon()
        }
        return room > 0 || replaced != null
    }

    /** Returns [connection], which has no request in flight, to the pool. */
    fun release(connection: BackendConnection) {
        val endpoint = addresses[connection]?.let { endpoints[it] } ?: return
        connection.idleSince = clock.now()
        endpoint.idle.addLast(connection)
    }

    /** Removes [connection], which has been closed. */
    fun onClosed(connection: BackendConnection) {
        val endpoint = addresses.remove(connection)?.let { endpoints[it] } ?: return
        endpoint.all.remove(connection)
        endpoint.idle.remove(connection)
    }

    /** Closes idle connections that are too close to the keep-alive timeout for reuse, and drops unused endpoints. */
    fun prune() {
        val now = clock.now()
        endpoints.values.forEach { endpoint ->
            endpoint.idle.filter { !it.isFresh(now, REUSE_SHARE) }.forEach { it.abandon() }
        }
        endpoints.values.removeIf { it.all.isEmpty() && it.connectingCount == 0 }
    }

    /**
     * Takes the most recently used idle connection that carried no earlier attempt of the exchange of [call]. It is the
     * one that the backend server is least likely to close. Returns `null` if even that one is too old. Drops closed
     * connections.
     */
    private fun takeIdle(endpoint: Endpoint, call: BackendCall): BackendConnection? {
        val now = clock.now()
        val share = if (call.parameters.requiresLiveConnection) SAFE_REUSE_SHARE else REUSE_SHARE
        endpoint.idle.removeAll { !it.open }
        val newest = endpoint.idle.lastOrNull { it !in call.exchange.connections }?.takeIf { it.isFresh(now, share) }
        newest?.let { endpoint.idle.remove(it) }
        return newest
    }

    private fun BackendConnection.isFresh(now: Timestamp, share: Double): Boolean =
        now - idleSince < (keepAliveMilliseconds ?: DEFAULT_KEEP_ALIVE_MILLISECONDS) * share

    private fun connect(endpoint: Endpoint, call: BackendCall): Unit =
        connect(endpoint, call.parameters.address) { connection ->
            when {
                connection == null -> call.onFailure(AttemptFailure.NOT_CONNECTED)
                // The call may have been abandoned while the connection was being established.
                call.ended -> release(connection)
                else -> {
                    call.listener.attemptConnected(call)
                    connection.send(call, codec.encodeRequest(call.exchange.head, call.parameters))
                }
            }
        }

    /** Connects to the server at [target], and passes on the connection, or `null` if there is none. */
    private fun connect(endpoint: Endpoint, target: String, onConnected: (BackendConnection?) -> Unit) {
        val address = Address.parseOrNull(target) ?: return onConnected(null)
        endpoint.connectingCount++
        connectionAttempts++
        val heads = ResponseHeadMemory(memory)
        val decoder = ResponseDecoder(codec.singleHeaders, heads)
        val connection = BackendConnection(this, codec, decoder, heads)
        val bootstrap = Bootstrap().group(group)
            .channel(NioSocketChannel::class.java)
            .withRelayOptions()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLISECONDS)
            // The connection decides what the end of the input or a failed write means for a response.
            .option(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .option(ChannelOption.AUTO_CLOSE, false)
            .handler(Initializer(decoder, connection))
        bootstrap.connect(address.toSocketAddress()).addListener { future ->
            endpoint.connectingCount--
            if (future.isSuccess) {
                endpoints[target] = endpoint
                endpoint.all.add(connection)
                addresses[connection] = target
                onConnected(connection)
            } else {
                onConnected(null)
            }
        }
    }

    private class Initializer(
        private val decoder: ResponseDecoder,
        private val connection: BackendConnection,
    ) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpRequestEncoder(), decoder, connection)
        }
    }

    private companion object {
        /** Longer than connecting to another availability zone takes. Callers' shortest deadline is one second. */
        const val CONNECT_TIMEOUT_MILLISECONDS = 400

        /** The share of the backend server's keep-alive timeout during which an idle connection is reused. */
        const val REUSE_SHARE = 0.7

        /** The same share for requests that must not be sent on a connection that the backend server may be closing. */
        const val SAFE_REUSE_SHARE = 0.4

        /**
         * The keep-alive timeout that is assumed if a backend server announces none. The header holds whole seconds, so
         * a timeout below one second cannot be announced.
         */
        const val DEFAULT_KEEP_ALIVE_MILLISECONDS = 500L
    }
}
