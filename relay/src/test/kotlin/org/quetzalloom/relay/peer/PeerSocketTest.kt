package org.quetzalloom.relay.peer

import io.netty.channel.nio.NioEventLoopGroup
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelaySettings
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.report.RelayMetrics
import org.quetzalloom.relay.report.Reporter
import org.quetzalloom.standins.port.FreePorts
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class PeerSocketTest {
    private val settings = RelaySettings(
        vm = VmId("vm-1"),
        zone = AvailabilityZoneId("zone-a"),
        graceMilliseconds = 8_000,
        retryRatio = 0.9,
        retryWindowMilliseconds = 10_000,
        retrySlack = 54.0,
        exposureLimit = 0.15,
        sessionIdleTimeoutMilliseconds = 5_000,
    )

    /** Reports of crashes and roll-outs together make beacons longer than datagrams usually are. */
    @Test
    fun `a long beacon is not cut off when it is received`() {
        val work = (1..120).associate { BackendServerId("server-with-a-long-id-$it") to it * 1_000L }
        val beacon = PeerBeacon(vm = VmId("vm-1"), sequence = 1, work = work.toPersistentMap())
        assertTrue(BeaconFormat.encode(beacon).length > LONGER_THAN_USUAL_BYTES)
        val address = Address("127.0.0.1", FreePorts.next())
        val received = CompletableFuture<RelayEvent>()
        val group = NioEventLoopGroup(1)
        val socket = PeerSocket(group, Reporter(RelayMetrics { RelayState.initial(settings) }), received::complete)
        try {
            socket.listen(address)
            socket.send(RelayEffect.SendBeacon(persistentListOf(address.toString()), beacon))
            assertEquals(RelayEvent.BeaconReceived(beacon), received.get(2, TimeUnit.SECONDS))
        } finally {
            group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
        }
    }

    private companion object {
        const val LONGER_THAN_USUAL_BYTES = 2_048
    }
}
