package org.quetzalloom.relay.http

import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelHandler
import io.netty.channel.ChannelInitializer
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioServerSocketChannel
import io.netty.handler.codec.http.HttpObjectAggregator
import io.netty.handler.codec.http.HttpServerCodec
import org.quetzalloom.relay.head.ConnectionMemory
import org.quetzalloom.relay.head.MessageMemory
import org.quetzalloom.relay.head.compactDecoderConfig

/**
 * Accepts connections on which other programs send short requests, such as health checks. Their heads are counted in
 * [memory], and a request that finds no room there or is not answered in time ends its connection.
 *
 * @param maximumBodyBytes the longest body.
 * @param handler creates the handler of a connection, which gets requests in full.
 */
internal class ShortRequestServer(
    private val group: EventLoopGroup,
    private val memory: MessageMemory,
    private val maximumBodyBytes: Int,
    private val handler: () -> ChannelHandler,
) {
    private val connections = LinkedHashSet<Channel>()

    /** Listens at [address]. Blocks until the address is bound, and throws if it cannot be. */
    fun listen(address: Address) {
        ServerBootstrap().group(group)
            .channel(NioServerSocketChannel::class.java)
            .withRelayOptions()
            .childHandler(Initializer())
            .bind(address.toSocketAddress())
            .sync()
    }

    private inner class Initializer : ChannelInitializer<SocketChannel>() {
        override fun initChannel(channel: SocketChannel) {
            connections.add(channel)
            if (connections.size > MAXIMUM_CONNECTIONS) connections.first().close()
            val connectionMemory = ConnectionMemory(memory)
            val config = compactDecoderConfig(connectionMemory, MAXIMUM_HEAD_BYTES)
            channel.pipeline().addLast(
                RequestDeadline(connectionMemory, config),
                HttpServerCodec(config),
                HttpObjectAggregator(maximumBodyBytes),
                handler(),
            )
            channel.closeFuture().addListener { connections.remove(channel) }
        }
    }

    private companion object {
        /** More than the routers of the largest fleet open. Above it, the oldest connection is closed. */
        const val MAXIMUM_CONNECTIONS = 1_024
        const val MAXIMUM_HEAD_BYTES = 8_192
    }
}
