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
import org.quetzalloom.relay.http.AnswerDecoder
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.http.withRelayOptions

/**
 * The connections to all backend servers, kept by address. Confined to the loop's thread.
 *
 * A kept connection is used again only well before the backend server would close it.
 */
internal class BackendPool(
    private val group: EventLoopGroup,
    private val codec: MessageCodec,
    private val clock: Clock,
) {
    private class Peer {
        val idle = ArrayDeque<BackendConnection>()
        val all = HashSet<BackendConnection>()
        var connecting = 0
    }

    private val peers = HashMap<String, Peer>()
    private val addresses = HashMap<BackendConnection, String>()

    /** Connections that are open. */
    val size: Int get() = addresses.size

    /** Connections that were made. */
    var made: Long = 0
        private set

    /** Sends [call] on a connection that is kept, or on a new one. */
    fun send(call: BackendCall) {
        val peer = peers.getOrPut(call.order.address) { Peer() }
        val kept = takeKept(peer, call.order.requiresLiveConnection)
        when {
            kept != null -> kept.send(call, codec.encodeRequest(call.exchange.head, call.order))
            peer.all.size + peer.connecting >= call.order.maximumConnections ->
                call.takeFailure(AttemptFailure.NO_CONNECTION_LEFT)
            else -> connect(peer, call)
        }
    }

    /** Keeps [connection], which has no request under way. */
    fun idle(connection: BackendConnection) {
        val peer = addresses[connection]?.let { peers[it] } ?: return
        connection.idleSince = clock.now()
        peer.idle.addLast(connection)
    }

    /** Takes that [connection] has closed. */
    fun closed(connection: BackendConnection) {
        val peer = addresses.remove(connection)?.let { peers[it] } ?: return
        peer.all.remove(connection)
        peer.idle.remove(connection)
    }

    /** Closes the connections that have been idle for too long. */
    fun prune() {
        val now = clock.now()
        peers.values.forEach { peer ->
            peer.idle.filter { !it.isFresh(now, KEPT_SHARE) }.forEach { it.abandon() }
        }
        peers.values.removeIf { it.all.isEmpty() && it.connecting == 0 }
    }

    /** The newest connection is the least likely to be closed by the other side; dead ones are dropped on the way. */
    private fun takeKept(peer: Peer, requiresLiveConnection: Boolean): BackendConnection? {
        val now = clock.now()
        val share = if (requiresLiveConnection) SURE_SHARE else KEPT_SHARE
        peer.idle.removeAll { !it.open }
        val newest = peer.idle.lastOrNull()?.takeIf { it.isFresh(now, share) }
        newest?.let { peer.idle.removeLast() }
        return newest
    }

    private fun BackendConnection.isFresh(now: Timestamp, share: Double): Boolean =
        now - idleSince < (keepAliveMilliseconds ?: UNKNOWN_KEEP_ALIVE_MILLISECONDS) * share

    private fun connect(peer: Peer, call: BackendCall) {
        val address = Address.parseOrNull(call.order.address) ?: return call.takeFailure(AttemptFailure.NOT_CONNECTED)
        peer.connecting++
        made++
        val decoder = AnswerDecoder()
        val connection = BackendConnection(this, codec, decoder)
        val bootstrap = Bootstrap().group(group)
            .channel(NioSocketChannel::class.java)
            .withRelayOptions()
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_MILLISECONDS)
            .handler(Initializer(decoder, connection))
        bootstrap.connect(address.toSocketAddress()).addListener { future ->
            peer.connecting--
            if (future.isSuccess) connected(peer, connection, call) else call.takeFailure(AttemptFailure.NOT_CONNECTED)
        }
    }

    private fun connected(peer: Peer, connection: BackendConnection, call: BackendCall) {
        peers[call.order.address] = peer
        peer.all.add(connection)
        addresses[connection] = call.order.address
        if (call.ended) {
            idle(connection)
        } else {
            connection.send(call, codec.encodeRequest(call.exchange.head, call.order))
        }
    }

    private class Initializer(
        private val decoder: AnswerDecoder,
        private val connection: BackendConnection,
    ) : ChannelInitializer<Channel>() {
        override fun initChannel(channel: Channel) {
            channel.pipeline().addLast(HttpRequestEncoder(), decoder, connection)
        }
    }

    private companion object {
        /** Longer than a connection to another availability zone takes; the callers' shortest deadline is a second. */
        const val CONNECT_MILLISECONDS = 400

        /** The share of the backend server's timeout for which an idle connection is kept. */
        const val KEPT_SHARE = 0.7

        /** The same where a request must not meet a connection that is being closed. */
        const val SURE_SHARE = 0.4

        /** Taken for the timeout where a backend server names none; it gives whole seconds only. */
        const val UNKNOWN_KEEP_ALIVE_MILLISECONDS = 500L
    }
}
