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

    /** Returns all effects from now to the end of the process, up to the one that ends it. */
    private fun RelayRig.passToEnd(): List<RelayEffect> = pass(7_900).takeWhile { it !is RelayEffect.Finish }

    /** Requests that were still in progress at the end of the grace time were cut off without an answer. */
    @Test
    fun `a request that is in progress at the end is answered as one that may have run`() {
        val rig = stopping()
        val send = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        val effects = rig.passToEnd()
        assertEquals(send.attempt, effects.only<RelayEffect.CancelAttempt>().attempt)
        val refusal = effects.only<RelayEffect.Refuse>()
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, refusal.kind)
        assertTrue(!refusal.kind.notRun)
    }

    /** A stream that was cut off by the end of the process looked complete to callers without chunked encoding. */
    @Test
    fun `a stream that is in progress at the end is aborted`() {
        val rig = stopping()
        val send = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.respond(send, ResponseHead(200, confidence = 90))
        val effects = rig.passToEnd()
        assertEquals(send.exchange, effects.only<RelayEffect.AbortResponse>().exchange)
        assertEquals(send.attempt, effects.only<RelayEffect.CancelAttempt>().attempt)
    }

    /** Requests that waited for a backend server at the end of the grace time were cut off without an answer. */
    @Test
    fun `a request that waits for a server at the end is refused as not run`() {
        val rig = RelayRig().start(RelayRig.plainServers).apply {
            pass(20)
            on(RelayEvent.StopRequested)
            pass(2_400)
        }
        val arrival = rig.arrive(RelayRig.prompt.copy(timeLeftMilliseconds = null)).second
        assertTrue(arrival.none<RelayEffect.Send>() && arrival.none<RelayEffect.Refuse>())
        rig.on(RelayEvent.SettingsChanged(RelayRig.settings("vm-1").copy(graceMilliseconds = 5_000)))
        val refusal = rig.passToEnd().only<RelayEffect.Refuse>()
        assertEquals(ErrorKind.SHUTTING_DOWN, refusal.kind)
        assertTrue((refusal.retryAfterMilliseconds ?: 0) > 0)
    }

    @Test
    fun `a request that arrives while the process ends is refused as not run`() {
        val rig = stopping()
        rig.pass(3_100)
        val refusal = rig.arrive(RelayRig.command).second.only<RelayEffect.Refuse>()
        assertEquals(ErrorKind.SHUTTING_DOWN, refusal.kind)
    }
}
