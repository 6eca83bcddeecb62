package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedProblem
import org.quetzalloom.core.relay.routing.ServiceName
import kotlin.test.Test
import kotlin.test.assertTrue

/** Requests reached backend servers that had said that they leave. */
class LeavingServersTest {
    private val one = RelayRig.server("s-1", RelayRig.plain).copy(startedAt = 5, sequence = 6)

    private fun RelayRig.mayUse(): Boolean {
        val (exchange, effects) = arrive(RelayRig.read)
        on(RelayEvent.CallerLeft(exchange))
        return !effects.none<RelayEffect.Send>()
    }

    private fun RelayRig.list(entry: FeedEntry): RelayRig = apply { read(Feed.SERVERS, entry) }

    private fun RelayRig.announceLeaving(): RelayRig = apply {
        val send = arrive(RelayRig.read).second.only<RelayEffect.Send>()
        respond(send, ResponseHead(status = 200, leaving = true))
        on(RelayEvent.ResponseFinished(send.exchange, send.attempt))
    }

    @Test
    fun `an entry that a draining server wrote before does not make it ready again`() {
        val rig = RelayRig().start(listOf(one)).list(FeedEntry.Server(one.copy(draining = true, sequence = 8)))
        rig.list(FeedEntry.Server(one.copy(sequence = 7)))
        assertTrue(!rig.mayUse())
    }

    @Test
    fun `an entry that a draining server wrote before does not make it ready again in the same read`() {
        val rig = RelayRig().start(listOf(one))
        val drains = FeedEntry.Server(one.copy(draining = true, sequence = 8))
        rig.read(Feed.SERVERS, drains, FeedEntry.Server(one.copy(sequence = 7)))
        assertTrue(!rig.mayUse())
    }

    @Test
    fun `an entry of an earlier run does not make a draining server ready again`() {
        val rig = RelayRig().start(listOf(one)).list(FeedEntry.Server(one.copy(draining = true, sequence = 7)))
        rig.list(FeedEntry.Server(one.copy(startedAt = 4, sequence = 90)))
        assertTrue(!rig.mayUse())
        rig.list(FeedEntry.Server(one.copy(startedAt = 6, sequence = 1)))
        assertTrue(rig.mayUse())
    }

    @Test
    fun `an entry that a draining server wrote before does not bring it back after its removal`() {
        val rig = RelayRig().start(listOf(one)).list(FeedEntry.Server(one.copy(draining = true, sequence = 8)))
        rig.list(FeedEntry.ServerRemoved(one.id)).pass(10_000)
        rig.list(FeedEntry.Server(one.copy(sequence = 7)))
        assertTrue(!rig.mayUse())
        rig.list(FeedEntry.Server(one.copy(startedAt = 6, sequence = 1)))
        assertTrue(rig.mayUse())
    }

    @Test
    fun `a server that was removed without having said that it leaves comes back with any entry`() {
        val rig = RelayRig().start(listOf(one)).list(FeedEntry.ServerRemoved(one.id))
        rig.pass(10_000)
        rig.list(FeedEntry.Server(one.copy(sequence = 5)))
        assertTrue(rig.mayUse())
    }

    @Test
    fun `a server that has announced its leaving gets no requests when its entry comes back`() {
        val rig = RelayRig().start(listOf(one)).announceLeaving()
        rig.on(RelayEvent.FeedFailed(Feed.SERVERS, FeedProblem.UNAVAILABLE, "down"))
        rig.list(FeedEntry.ServerRemoved(one.id))
        rig.pass(10_000)
        rig.list(FeedEntry.Server(one.copy(sequence = 9)))
        assertTrue(!rig.mayUse())
        rig.list(FeedEntry.Server(one.copy(startedAt = 6, sequence = 1)))
        assertTrue(rig.mayUse())
    }

    /** The router that hands a request over passes on an answer that does not name its server. */
    @Test
    fun `a router learns from another one that a server has announced its leaving`() {
        val beacon = RelayRig("vm-2").start(listOf(one), members = 2).announceLeaving().pass(200)
            .filterIsInstance<RelayEffect.SendBeacon>().last().beacon
        val rig = RelayRig().start(listOf(one), members = 2)
        rig.on(RelayEvent.BeaconReceived(beacon))
        rig.list(FeedEntry.Server(one.copy(sequence = 9)))
        assertTrue(!rig.mayUse())
        rig.list(FeedEntry.Server(one.copy(startedAt = 6, sequence = 1)))
        rig.on(RelayEvent.BeaconReceived(beacon.copy(sequence = beacon.sequence + 1)))
        assertTrue(rig.mayUse())
    }

    @Test
    fun `a router that cannot read the list learns from another one that a server drains`() {
        val beacon = RelayRig("vm-2").start(listOf(one), members = 2)
            .list(FeedEntry.Server(one.copy(draining = true, sequence = 9))).pass(200)
            .filterIsInstance<RelayEffect.SendBeacon>().last().beacon
        val rig = RelayRig().start(listOf(one), members = 2)
        rig.on(RelayEvent.BeaconReceived(beacon))
        assertTrue(!rig.mayUse())
        rig.list(FeedEntry.Server(one.copy(sequence = 10)))
        assertTrue(rig.mayUse())
    }

    /** Entries of another writer may have any numbers. */
    @Test
    fun `an entry of an unknown service does not keep the server from coming back`() {
        val rig = RelayRig().start(listOf(one))
        rig.list(FeedEntry.Server(one.copy(service = ServiceName("unknown"), startedAt = 99, sequence = 99)))
        assertTrue(!rig.mayUse())
        rig.list(FeedEntry.Server(one.copy(sequence = 7)))
        assertTrue(rig.mayUse())
    }
}
