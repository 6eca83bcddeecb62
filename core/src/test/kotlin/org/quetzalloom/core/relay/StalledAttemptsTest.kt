package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/** Answers of servers that were silent for a moment were ended, although nothing else could answer the requests. */
class StalledAttemptsTest {
    private fun RelayRig.stall(send: RelayEffect.Send, lastEventId: String? = null): List<RelayEffect> =
        on(RelayEvent.AttemptStalled(send.exchange, send.attempt, lastEventId))

    private fun List<RelayEffect>.endsNothing(): Boolean = none<RelayEffect.CancelAttempt>() &&
        none<RelayEffect.AbortResponse>() && none<RelayEffect.Refuse>() && none<RelayEffect.Send>()

    @Test
    fun `a stream that pauses moves to another server, after the last event that was forwarded`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        val first = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.respond(first, ResponseHead(200, confidence = 90))
        val effects = rig.stall(first, lastEventId = "4")
        val cancelled = effects.indexOf(effects.only<RelayEffect.CancelAttempt>())
        assertTrue(cancelled < effects.indexOf(effects.only<RelayEffect.Send>()))
        val second = effects.only<RelayEffect.Send>()
        assertEquals("4", second.parameters.lastEventId)
        assertNotEquals(first.serverId, second.serverId)
    }

    @Test
    fun `a stream that pauses is not cut off while no other server can take it`() {
        val rig = RelayRig().start(RelayRig.engineServers.take(1))
        val send = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.respond(send, ResponseHead(200, confidence = 90))
        assertTrue(rig.stall(send, lastEventId = "4").endsNothing())
        assertTrue(rig.pass(10_000).endsNothing())
        assertEquals(1, rig.state.activeExchanges)
        rig.on(RelayEvent.ResponseFinished(send.exchange, send.attempt))
        assertEquals(0, rig.state.activeExchanges)
    }

    @Test
    fun `a stream that pauses is not cut off when its attempts are used up`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        val first = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        val second = rig.failAttempt(first, AttemptFailure.CONNECTION_LOST).only<RelayEffect.Send>()
        val third = rig.failAttempt(second, AttemptFailure.CONNECTION_LOST).only<RelayEffect.Send>()
        rig.respond(third, ResponseHead(200, confidence = 90))
        assertTrue(rig.stall(third, lastEventId = "1").endsNothing())
    }

    @Test
    fun `a stream that pauses is not cut off when the retry budget is used up`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        val send = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.respond(send, ResponseHead(200, confidence = 90))
        rig.on(RelayEvent.SettingsChanged(RelayRig.settings("vm-1").copy(retryRatio = 0.0, retrySlack = 0.0)))
        assertTrue(rig.stall(send, lastEventId = "1").endsNothing())
    }

    @Test
    fun `a request that waits for a silent server moves once another server can take it`() {
        val rig = RelayRig().start(RelayRig.plainServers.take(1))
        val first = rig.arrive(RelayRig.read).second.only<RelayEffect.Send>()
        assertTrue(rig.stall(first).endsNothing())
        rig.read(Feed.SERVERS, FeedEntry.Server(RelayRig.plainServers[1]))
        val second = rig.stall(first).only<RelayEffect.Send>()
        assertNotEquals(first.serverId, second.serverId)
    }

    @Test
    fun `a server that was silent for long is used again soon after its pause`() {
        val rig = RelayRig().start(RelayRig.plainServers.take(1))
        val send = rig.arrive(RelayRig.read.copy(timeLeftMilliseconds = 20_000)).second.only<RelayEffect.Send>()
        repeat(5) {
            rig.stall(send)
            rig.pass(100)
        }
        rig.pass(600)
        val sends = rig.arrive(RelayRig.read.copy(callerId = "next")).second.filterIsInstance<RelayEffect.Send>()
        assertEquals(1, sends.size)
    }

    @Test
    fun `a silent server gets no other requests for a while`() {
        val rig = RelayRig().start(RelayRig.plainServers.take(1))
        val send = rig.arrive(RelayRig.read).second.only<RelayEffect.Send>()
        rig.stall(send)
        assertTrue(rig.arrive(RelayRig.read.copy(callerId = "next")).second.none<RelayEffect.Send>())
    }
}
