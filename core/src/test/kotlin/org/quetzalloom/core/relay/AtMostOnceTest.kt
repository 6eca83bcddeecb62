package org.quetzalloom.core.relay

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ResponseHead
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertTrue

/**
 * Guards against a request that must not run twice being retried after it may have run, and against errors that claim
 * that a request has not run when it may have.
 */
class AtMostOnceTest {
    private val refusal = ResponseHead(status = 503, notRun = true, signed = false)

    @Test
    fun `a command whose connection was lost is not sent again, and its error does not claim that it has not run`() {
        AttemptFailure.entries.filter { it.mayHaveArrived }.forEach { failure ->
            val rig = RelayRig().start()
            val send = rig.arrive(RelayRig.command).second.only<RelayEffect.Send>()
            val effects = rig.failAttempt(send, failure)
            assertTrue(effects.none<RelayEffect.Send>(), "$failure")
            assertEquals(ErrorKind.BACKEND_FAILED, effects.only<RelayEffect.Refuse>().kind)
            assertTrue(rig.pass(2_000).none<RelayEffect.Send>())
        }
    }

    @Test
    fun `a command that was never sent goes to another server`() {
        AttemptFailure.entries.filter { !it.mayHaveArrived }.forEach { failure ->
            val rig = RelayRig().start()
            val first = rig.arrive(RelayRig.command).second.only<RelayEffect.Send>()
            val second = rig.failAttempt(first, failure).only<RelayEffect.Send>()
            assertNotEquals(first.serverId, second.serverId)
        }
    }

    @Test
    fun `a command that a server refused goes to another server`() {
        val rig = RelayRig().start()
        val first = rig.arrive(RelayRig.command).second.only<RelayEffect.Send>()
        val second = rig.respond(first, refusal).only<RelayEffect.Send>()
        assertNotEquals(first.serverId, second.serverId)
    }

    @Test
    fun `a command that all servers refused is answered as not run, with a retry-after time`() {
        val rig = RelayRig().start()
        var send = rig.arrive(RelayRig.command).second.only<RelayEffect.Send>()
        repeat(2) { send = rig.respond(send, refusal).only() }
        val effects = rig.respond(send, refusal) + rig.pass(500)
        val error = effects.only<RelayEffect.Refuse>()
        assertEquals(ErrorKind.NO_CAPACITY, error.kind)
        assertTrue(error.kind.notRun)
        assertTrue((error.retryAfterMilliseconds ?: 0) > 0)
    }

    @Test
    fun `the response of a server that failed while running a command is forwarded unchanged`() {
        val rig = RelayRig().start()
        val send = rig.arrive(RelayRig.command).second.only<RelayEffect.Send>()
        val effects = rig.respond(send, ResponseHead(status = 500))
        assertEquals(send.attempt, effects.only<RelayEffect.ForwardResponse>().attempt)
        assertTrue(effects.none<RelayEffect.Send>())
    }

    /** Callers sent commands again that had run, because the server's own failure had a status that says "not run". */
    @Test
    fun `a status that says not run is not forwarded without the server's guarantee`() {
        listOf(408, 421, 429, 503).forEach { status ->
            val rig = RelayRig().start()
            val send = rig.arrive(RelayRig.command).second.only<RelayEffect.Send>()
            val effects = rig.respond(send, ResponseHead(status = status))
            assertTrue(effects.none<RelayEffect.ForwardResponse>() && effects.none<RelayEffect.Send>(), "$status")
            assertEquals(ErrorKind.BACKEND_FAILED, effects.only<RelayEffect.Refuse>().kind)
            assertEquals(send.attempt, effects.only<RelayEffect.CancelAttempt>().attempt)
        }
    }

    @Test
    fun `a read that a server answers with such a status goes to another server`() {
        val rig = RelayRig().start()
        val first = rig.arrive(RelayRig.read).second.only<RelayEffect.Send>()
        val second = rig.respond(first, ResponseHead(status = 429)).only<RelayEffect.Send>()
        assertNotEquals(first.serverId, second.serverId)
    }

    @Test
    fun `a command that still runs at its deadline is answered as deadline exceeded, and its attempt is cancelled`() {
        val rig = RelayRig().start()
        rig.arrive(RelayRig.command)
        val effects = rig.pass(1_100)
        assertEquals(ErrorKind.DEADLINE_EXCEEDED, effects.only<RelayEffect.Refuse>().kind)
        assertEquals(1, effects.filterIsInstance<RelayEffect.CancelAttempt>().size)
    }

    @Test
    fun `a success without a signature is not forwarded`() {
        val rig = RelayRig().start()
        val send = rig.arrive(RelayRig.command).second.only<RelayEffect.Send>()
        val effects = rig.respond(send, ResponseHead(status = 200, signed = false))
        assertTrue(effects.none<RelayEffect.ForwardResponse>())
        assertEquals(ErrorKind.BACKEND_FAILED, effects.only<RelayEffect.Refuse>().kind)
    }

    @Test
    fun `a command requires a connection that is known to be alive, a read does not`() {
        val rig = RelayRig().start()
        assertTrue(rig.arrive(RelayRig.command).second.only<RelayEffect.Send>().parameters.requiresLiveConnection)
        assertTrue(!rig.arrive(RelayRig.read).second.only<RelayEffect.Send>().parameters.requiresLiveConnection)
    }
}
