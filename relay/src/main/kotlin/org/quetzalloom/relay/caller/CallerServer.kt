package org.quetzalloom.relay.caller

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpResponseEncoder
import org.quetzalloom.core.relay.routing.CallerLimits
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.StrictRequestDecoder
import org.quetzalloom.relay.http.withRelayOptions
import java.util.concurrent.TimeUnit

/**
 * The listener for callers, and all their connections. Confined to the loop's thread.
 *
 * @property handler what is done with requests.
 */
internal class CallerServer(val handler: RequestHandler) {
    private val connections = LinkedHashSet<CallerConnection>()
    private var listener: Channel? = null

    /** What callers may send. */
    var limits: CallerLimits = DEFAULT_LIMITS

    /** Whether connections end with their next answer. */
    var draining: Boolean = false
        private set

    /** Connections that are open. */
    val size: Int get() = connections.size

    /** Listens at [address]. */
    fun listen(group: EventLoopGroup, address: Address) {
        val bootstrap = ServerBootstrap().group(group)
            .channel(NioServerSocketChannel::class.java)
            .withRelayOptions()
            .childHandler(Initializer())
        listener = bootstrap.bind(address.toSocketAddress()).sync().channel()
    }

    /** Ends connections with their next answer, and idle ones after [idleAfterMilliseconds]. */
    fun drain(group: EventLoopGroup, idleAfterMilliseconds: Long) {
        draining = true
        group.schedule(
            { connections.toList().forEach { it.closeIfIdle() } },
            idleAfterMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Takes a connection that was accepted. */
    fun onOpened(connection: CallerConnection) {
        connections.add(connection)
    }

    /** Takes that a connection has closed. */
    fun onClosed(connection: CallerConnection) {
        connections.remove(connection)
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val reader = RequestReader { limits }
            channel.pipeline().addLast(
                HttpResponseEncoder(),
                InboundBytesHandler(reader),
                StrictRequestDecoder(limits.maximumHeaderBytes),
                reader,
                CallerConnection(this@CallerServer),
            )
        }
    }

    private companion object {
        /** In force until a configuration has been read; every request is refused until then. */
        val DEFAULT_LIMITS = CallerLimits(
            maximumHeaderBytes = 16_384,
            maximumBodyBytes = 1_048_576,
            headerMilliseconds = 3_000,
            idleMilliseconds = 15_000,
        )
    }
}
