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
internal class CallerFront(val handler: CallerHandler) {
    private val connections = LinkedHashSet<CallerConnection>()
    private var listener: Channel? = null

    /** What callers may send. */
    var limits: CallerLimits = DEFAULT_LIMITS

    /** Whether connections end with their next answer. */
    var stopping: Boolean = false
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
    fun stop(group: EventLoopGroup, idleAfterMilliseconds: Long) {
        stopping = true
        group.schedule(
            { connections.toList().forEach { it.closeIfIdle() } },
            idleAfterMilliseconds,
            TimeUnit.MILLISECONDS,
        )
    }

    /** Takes a connection that was accepted. */
    fun opened(connection: CallerConnection) {
        connections.add(connection)
    }

    /** Takes that a connection has closed. */
    fun closed(connection: CallerConnection) {
        connections.remove(connection)
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            val reader = RequestReader { limits }
            channel.pipeline().addLast(
                HttpResponseEncoder(),
                ArrivalNotice(reader),
                StrictRequestDecoder(limits.maximumHeaderBytes),
                reader,
                CallerConnection(this@CallerFront),
            )
        }
    }

    private companion object {
        /** In force until a configuration has been read; every request is refused until then. */
        val DEFAULT_LIMITS = CallerLimits(
            maximumHeaderBytes = 16_384,
            maximumBodyBytes = 1_048_576,
            headerTimeoutMilliseconds = 3_000,
            idleTimeoutMilliseconds = 15_000,
        )
    }
}
