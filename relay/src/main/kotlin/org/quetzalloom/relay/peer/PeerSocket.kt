package org.quetzalloom.relay.peer

import io.netty.bootstrap.Bootstrap
import io.netty.buffer.Unpooled
import io.netty.channel.Channel
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.FixedRecvByteBufAllocator
import io.netty.channel.SimpleChannelInboundHandler
import io.netty.channel.socket.DatagramPacket
import io.netty.channel.socket.nio.NioDatagramChannel
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.report.Reporter

/**
 * Sends beacons to other routers and receives theirs, as JSON in UDP datagrams.
 *
 * A lost beacon is not sent again; the next one replaces it.
 *
 * @param post posts an event to the reducer.
 */
internal class PeerSocket(
    private val group: EventLoopGroup,
    private val reporter: Reporter,
    private val post: (RelayEvent) -> Unit,
) {
    private var channel: Channel? = null

    /**
     * Binds the socket to [address], and starts to receive beacons.
     *
     * Blocks until the address is bound, and throws if it cannot be.
     */
    fun listen(address: Address) {
        val bootstrap = Bootstrap().group(group).channel(NioDatagramChannel::class.java).handler(Receiver())
            .option(ChannelOption.RCVBUF_ALLOCATOR, FixedRecvByteBufAllocator(MAXIMUM_BEACON_BYTES))
        channel = bootstrap.bind(address.toSocketAddress()).sync().channel()
    }

    /** Sends the beacon of [effect]. Does nothing before [listen]; skips addresses that cannot be parsed. */
    fun send(effect: RelayEffect.SendBeacon) {
        val open = channel ?: return
        val bytes = BeaconFormat.encode(effect.beacon).toByteArray()
        effect.addresses.mapNotNull { Address.parseOrNull(it) }.forEach { address ->
            open.write(DatagramPacket(Unpooled.wrappedBuffer(bytes), address.toSocketAddress()))
        }
        open.flush()
    }

    private inner class Receiver : SimpleChannelInboundHandler<DatagramPacket>() {
        override fun channelRead0(context: ChannelHandlerContext, packet: DatagramPacket) {
            post(RelayEvent.BeaconReceived(BeaconFormat.decode(packet.content().toString(Charsets.UTF_8))))
        }

        @Deprecated("Overrides a deprecated method.")
        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable): Unit =
            reporter.reportProblem("beacon_dropped", cause)
    }

    private companion object {
        /** A longer beacon would be cut off when it is received, and dropped. */
        const val MAXIMUM_BEACON_BYTES = 8_192
    }
}
