package org.quetzalloom.core.relay

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.exchange.AnswerHead
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A graceful stop cuts nothing that it has taken. */
class StopTest {
    private fun stopping(): RelayRig = RelayRig().start(RelayRig.engineServers + RelayRig.plainServers).apply {
        pass(20)
        on(RelayEvent.StopRequested)
    }

    @Test
    fun `readiness is declared once a configuration and the servers are known, and ends with the stop`() {
        val rig = RelayRig()
        assertTrue(!rig.pass(20).only<RelayEffect.SetReady>().ready)
        rig.start()
        assertTrue(rig.pass(20).only<RelayEffect.SetReady>().ready)
        assertTrue(!rig.on(RelayEvent.StopRequested).only<RelayEffect.SetReady>().ready)
    }

    @Test
    fun `requests are taken while they come, and the process ends once all are answered`() {
        val rig = stopping()
        rig.pass(1_000)
        val send = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.answer(send, AnswerHead(200, confidence = 90))
        assertTrue(rig.pass(4_000).none<RelayEffect.Finish>())
        rig.on(RelayEvent.AnswerFinished(send.exchange, send.attempt))
        assertEquals(1, rig.pass(20).filterIsInstance<RelayEffect.Finish>().size)
    }

    @Test
    fun `a request that could not end in time is refused as not run`() {
        val rig = stopping()
        val held = rig.arrive(RelayRig.prompt).second.only<RelayEffect.Send>()
        rig.pass(5_000)
        val refusal = rig.arrive(RelayRig.prompt.copy(callerId = "p-2")).second.only<RelayEffect.Refuse>()
        assertEquals(ErrorKind.SHUTTING_DOWN, refusal.kind)
        assertTrue(refusal.kind.notRun && (refusal.retryAfterMilliseconds ?: 0) > 0)
        assertEquals(1, rig.arrive(RelayRig.command).second.filterIsInstance<RelayEffect.Send>().size)
        rig.on(RelayEvent.CallerLeft(held.exchange))
    }

    @Test
    fun `the process ends before it would be killed`() {
        val rig = stopping()
        rig.arrive(RelayRig.prompt)
        assertEquals(1, rig.pass(7_900).filterIsInstance<RelayEffect.Finish>().size)
    }
}
