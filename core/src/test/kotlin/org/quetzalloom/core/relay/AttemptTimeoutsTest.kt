package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ResponseHead
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** How long a router waits for a server that does not answer, and what it does with the server afterwards. */
class AttemptTimeoutsTest {
    private val prompt = RelayRig.prompt.copy(promptTokens = 10_000)

    private fun RelayRig.serve(number: Int, milliseconds: Long) {
        val send = arrive(prompt.copy(callerId = "p-$number")).second.only<RelayEffect.Send>()
        pass(milliseconds)
        respond(send, ResponseHead(200, confidence = 90))
        on(RelayEvent.ResponseFinished(send.exchange, send.attempt))
    }

    private fun RelayRig.startTimeout(): Long? =
        arrive(prompt).second.only<RelayEffect.Send>().parameters.startTimeoutMilliseconds

    @Test
    fun `a stream may take several targets to begin while the pace of its servers is unknown`() {
        assertEquals(8_000, RelayRig().start(RelayRig.engineServers).startTimeout())
    }

    @Test
    fun `the start timeout of a stream follows the usual time to read its prompt`() {
        val quick = RelayRig().start(RelayRig.engineServers).apply { repeat(100) { serve(it, milliseconds = 100) } }
        assertEquals(1_000, quick.startTimeout())
        val slow = RelayRig().start(RelayRig.engineServers).apply { repeat(100) { serve(it, milliseconds = 1_000) } }
        assertEquals(4_500, slow.startTimeout())
    }

    @Test
    fun `a request that may run only once has no timeouts before its deadline`() {
        val send = RelayRig().start().arrive(RelayRig.command).second.only<RelayEffect.Send>()
        assertEquals(null, send.parameters.startTimeoutMilliseconds)
        assertEquals(null, send.parameters.idleTimeoutMilliseconds)
    }

    @Test
    fun `a server that timed out is suspended for longer than one that closed a connection`() {
        val stillSuspended = listOf(AttemptFailure.CONNECTION_LOST, AttemptFailure.SILENT).map { failure ->
            val rig = RelayRig().start(RelayRig.plainServers.take(1))
            val send = rig.arrive(RelayRig.read).second.only<RelayEffect.Send>()
            rig.failAttempt(send, failure)
            rig.on(RelayEvent.CallerLeft(send.exchange))
            rig.pass(400)
            rig.arrive(RelayRig.read.copy(callerId = "next")).second.none<RelayEffect.Send>()
        }
        assertEquals(listOf(false, true), stillSuspended)
    }

    @Test
    fun `a request that timed out at one server is retried at another`() {
        val rig = RelayRig().start()
        val first = rig.arrive(RelayRig.read).second.only<RelayEffect.Send>()
        val second = rig.failAttempt(first, AttemptFailure.SILENT).only<RelayEffect.Send>()
        assertTrue(first.serverId != second.serverId)
    }
}
