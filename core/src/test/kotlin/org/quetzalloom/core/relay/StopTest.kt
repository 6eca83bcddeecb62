package org.quetzalloom.core.relay

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.exchange.ResponseHead
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A graceful stop does not cut off requests that were admitted, and ends before the process would be killed. */
class StopTest {
    private fun stopping(): RelayRig = RelayRig().start(RelayRig.engineServers + RelayRig.plainServers).apply {
        pass(20)
        on(RelayEvent.StopRequested)
    }

    @Test
    fun `the router is ready once a configuration and the servers are known, until the stop is requested`() {
        val rig = RelayRig()
        assertTrue(!rig.pass(20).only<RelayEffect.SetReady>().ready)
        rig.start()
        assertTrue(rig.pass(20).only<RelayEffect.SetReady>().ready)
        assertTrue(!rig.on(RelayEvent.StopRequested).only<RelayEffect.SetReady>().ready)
    }

    @Test
    fun `callers wait for the first configuration for a short time only`() {
        val rig = RelayRig()
        assertTrue(rig.pass(500).none<RelayEffect.AcceptCallers>())
        rig.start()
        assertEquals(1, rig.pass(1_000).filterIsInstance<RelayEffect.AcceptCallers>().size)
        val withoutStore = RelayRig()
        assertEquals(1, withoutStore.pass(700).filterIsInstance<RelayEffect.AcceptCallers>().size)
    }

    @Test
    fun `late requests are admitted, and the process ends once all are answered`() {
        val rig = stopping()
        rig.pass(1_000)
        val send = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.respond(send, ResponseHead(200, confidence = 90))
        assertTrue(rig.pass(4_000).none<RelayEffect.Finish>())
        rig.on(RelayEvent.ResponseFinished(send.exchange, send.attempt))
        assertEquals(1, rig.pass(20).filterIsInstance<RelayEffect.Finish>().size)
    }

    @Test
    fun `a request that might not end before the process is refused as not run`() {
        val rig = stopping()
        val inFlight = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.pass(5_000)
        val refusal = rig.arrive(RelayRig.prompt.copy(callerId = "p-2")).second.only<RelayEffect.Refuse>()
        assertEquals(ErrorKind.SHUTTING_DOWN, refusal.kind)
        assertTrue(refusal.kind.notRun && (refusal.retryAfterMilliseconds ?: 0) > 0)
        assertEquals(1, rig.arrive(RelayRig.command).second.filterIsInstance<RelayEffect.Send>().size)
        rig.on(RelayEvent.CallerLeft(inFlight.exchange))
    }

    @Test
    fun `the process ends before it would be killed`() {
        val rig = stopping()
        rig.arrive(RelayRig.prompt)
        assertEquals(1, rig.pass(7_900).filterIsInstance<RelayEffect.Finish>().size)
    }
}
