package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.time.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** A router that reaches no backend server hands requests over to others, and never loses what it may promise. */
class HandoversTest {
    private val routers = listOf("vm-2", "vm-3")

    /** Returns a router that has found that it reaches no server of both services, and knows two others. */
    private fun cutOffRouter(): RelayRig = RelayRig().start(RelayRig.plainServers + RelayRig.engineServers, members = 3)
        .apply {
            announce(this)
            cutOff(RelayRig.read)
            cutOff(RelayRig.prompt)
        }

    private fun announce(rig: RelayRig, beacon: (PeerBeacon) -> PeerBeacon = { it }) = routers.forEach {
        val sent = PeerBeacon(VmId(it), rig.now - Timestamp.EPOCH, persistentMapOf(), callerPort = 80)
        rig.on(RelayEvent.BeaconReceived(beacon(sent)))
    }

    /** Lets attempts fail until a request is handed over, and ends that one. */
    private fun RelayRig.cutOff(request: RelayRequest) {
        var effects = arrive(request).second
        while (effects.only<RelayEffect.Send>().parameters.server != null) {
            effects = failAttempt(effects.only(), AttemptFailure.NOT_CONNECTED)
        }
        forward(effects.only())
    }

    private fun RelayRig.forward(send: RelayEffect.Send) {
        respond(send, ResponseHead(status = 200)).only<RelayEffect.ForwardResponse>()
        on(RelayEvent.ResponseFinished(send.exchange, send.attempt))
    }

    private fun List<RelayEffect>.handover(): RelayEffect.Send =
        only<RelayEffect.Send>().also { assertEquals(null, it.parameters.server) }

    /** Its caller got 404 for a route that had been added, from a router that did not know of it yet. */
    @Test
    fun `a request goes on to the next router if one does not know its route or key`() {
        for (status in listOf(401, 403, 404)) {
            val rig = cutOffRouter()
            val first = rig.arrive(RelayRig.read).second.handover()
            val second = rig.respond(first, ResponseHead(status, signed = false)).handover()
            assertNotEquals(first.parameters.address, second.parameters.address)
            val effects = rig.respond(second, ResponseHead(status, signed = false))
            assertTrue(effects.none { it is RelayEffect.ForwardResponse }, "$effects")
            val command = rig.arrive(RelayRig.command).second.handover()
            rig.respond(command, ResponseHead(status, signed = false)).only<RelayEffect.ForwardResponse>()
        }
    }

    /** Requests in an evacuated zone or by an old configuration could come from a router that was behind the others. */
    @Test
    fun `a router that is behind the others takes over no requests`() {
        val rig = RelayRig().start(members = 3)
        rig.on(RelayEvent.SettingsChanged(rig.state.settings.copy(callerPort = 80)))
        assertEquals(80, rig.callerPort())
        rig.pass(rig.state.settings.changeBoundMilliseconds)
        assertEquals(80, rig.callerPort(), "the store may be down for all")
        announce(rig) { it.copy(storeReadMillisecondsAgo = 0) }
        assertEquals(null, rig.callerPort())
        for (feed in listOf(Feed.ORDERS, Feed.SERVERS)) {
            val throughReader = rig.state.feeds.of(feed).reader != null
            rig.on(RelayEvent.FeedRead(feed, emptyList(), nextOffset = 1, snapshot = false, throughReader))
        }
        assertEquals(80, rig.callerPort())
    }

    private fun RelayRig.callerPort(): Int? =
        pass(BEACON_INTERVAL).filterIsInstance<RelayEffect.SendBeacon>().last().beacon.callerPort

    @Test
    fun `a request is handed over at once, with the time that is left`() {
        val send = cutOffRouter().arrive(RelayRig.command).second.handover()
        assertTrue(send.parameters.address in setOf("10.0.0.2:80", "10.0.0.3:80"))
        assertEquals(1_000L, send.parameters.timeLeftMilliseconds)
        assertEquals(null, send.parameters.startTimeoutMilliseconds)
    }

    @Test
    fun `a request that was handed over is not handed over again`() {
        val effects = cutOffRouter().arrive(RelayRig.read.copy(earlierRuns = 0)).second
        assertTrue(effects.none<RelayEffect.Send>() || effects.only<RelayEffect.Send>().parameters.server != null)
    }

    @Test
    fun `a command that another router may have run is not sent again`() {
        val rig = cutOffRouter()
        val send = rig.arrive(RelayRig.command).second.handover()
        val effects = rig.failAttempt(send, AttemptFailure.CONNECTION_LOST)
        assertTrue(effects.none<RelayEffect.Send>())
        assertEquals(ErrorKind.BACKEND_FAILED, effects.only<RelayEffect.Refuse>().kind)
    }

    @Test
    fun `a command that another router refuses goes to each other one once`() {
        val rig = cutOffRouter()
        val refusal = ResponseHead(status = 503, signed = false)
        val first = rig.arrive(RelayRig.command).second.handover()
        val second = rig.respond(first, refusal).handover()
        assertNotEquals(first.parameters.address, second.parameters.address)
        val last = rig.respond(second, refusal) + rig.pass(1_000)
        assertTrue(last.filterIsInstance<RelayEffect.Send>().none { it.parameters.server == null })
    }

    @Test
    fun `a signed refusal of a backend server is forwarded, an unsigned success is not`() {
        val rig = cutOffRouter()
        val refused = rig.arrive(RelayRig.command).second.handover()
        rig.respond(refused, ResponseHead(status = 500)).only<RelayEffect.ForwardResponse>()
        val forged = rig.arrive(RelayRig.command).second.handover()
        val effects = rig.respond(forged, ResponseHead(status = 200, signed = false))
        assertEquals(ErrorKind.BACKEND_FAILED, effects.only<RelayEffect.Refuse>().kind)
    }

    @Test
    fun `a stream that another router loses is resumed through the next one`() {
        val rig = cutOffRouter()
        val first = rig.arrive(RelayRig.prompt).second.handover()
        rig.respond(first, ResponseHead(status = 200))
        val second = rig.failAttempt(first, AttemptFailure.CONNECTION_LOST, lastEventId = "7").handover()
        assertEquals("7", second.parameters.lastEventId)
        assertEquals(1, second.parameters.earlierRuns)
    }

    @Test
    fun `only a request that may have run counts as a retry when it is handed over`() {
        for ((failure, counted) in listOf(AttemptFailure.NOT_CONNECTED to 0, AttemptFailure.CONNECTION_LOST to 1)) {
            val rig = cutOffRouter()
            fun retries() = rig.state.exchanges.budgets.getValue(RelayRig.engines).retries.values.sum()
            val before = retries()
            val first = rig.arrive(RelayRig.prompt).second.handover()
            rig.failAttempt(first, failure).handover()
            assertEquals(counted, retries() - before, "$failure")
        }
    }

    @Test
    fun `a request counts its runs before it was handed over`() {
        val rig = RelayRig().start()
        val send = rig.arrive(RelayRig.read.copy(earlierRuns = 1)).second.only<RelayEffect.Send>()
        assertTrue(rig.failAttempt(send, AttemptFailure.CONNECTION_LOST).none<RelayEffect.Send>())
    }

    @Test
    fun `no request is handed over to routers that reach no server either`() {
        val rig = cutOffRouter()
        rig.pass(100)
        announce(rig) { it.copy(callerPort = null) }
        val effects = rig.arrive(RelayRig.command).second + rig.pass(1_000)
        assertTrue(effects.filterIsInstance<RelayEffect.Send>().none { it.parameters.server == null })
        assertNotNull(effects.only<RelayEffect.Refuse>())
    }

    @Test
    fun `a caller who leaves ends the request at the other router`() {
        val rig = cutOffRouter()
        val send = rig.arrive(RelayRig.command).second.handover()
        val cancelled = rig.on(RelayEvent.CallerLeft(send.exchange)).only<RelayEffect.CancelAttempt>()
        assertEquals(send.attempt, cancelled.attempt)
    }

    @Test
    fun `requests go to servers again once one accepts a connection`() {
        val rig = cutOffRouter()
        val probe = rig.probe()
        rig.on(RelayEvent.ServerProbed(probe.service, probe.server, connected = true))
        val effects = rig.arrive(RelayRig.command).second
        assertTrue(effects.only<RelayEffect.Send>().parameters.server in RelayRig.plainServers.map { it.id })
    }

    @Test
    fun `another server is probed if the one before is gone when its probe ends`() {
        val rig = cutOffRouter()
        val probe = rig.probe()
        rig.read(Feed.SERVERS, FeedEntry.ServerRemoved(probe.server))
        rig.pass(1_000)
        rig.on(RelayEvent.ServerProbed(probe.service, probe.server, connected = false))
        assertNotEquals(probe.server, rig.probe().server)
    }

    private fun RelayRig.probe(): RelayEffect.ProbeServer =
        pass(1_000).filterIsInstance<RelayEffect.ProbeServer>().first { it.service == RelayRig.plain }

    @Test
    fun `one server that fails by itself does not cut a router off`() {
        val rig = RelayRig().start(members = 3)
        announce(rig)
        repeat(4) {
            val failing = rig.arrive(RelayRig.read).second.only<RelayEffect.Send>()
            val next = rig.failAttempt(failing, AttemptFailure.CONNECTION_LOST).only<RelayEffect.Send>()
            assertNotNull(next.parameters.server)
            rig.forward(next)
            rig.pass(400)
        }
    }

    private companion object {
        const val BEACON_INTERVAL = 100L
    }
}
