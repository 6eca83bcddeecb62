package org.quetzalloom.core.relay

import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.server.AffinityPlacement
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Servers that have become slow get fewer requests, and are tried again later. */
class SlownessTest {
    private val prompt = RelayRig.prompt.copy(promptTokens = 10_000)
    private var sent = 0

    /** Serves [count] requests, which take 100 ms each, but 500 ms at the server [slow]; returns their servers. */
    private fun RelayRig.serve(count: Int, slow: String? = null): List<String> = (1..count).map {
        val send = arrive(prompt.copy(callerId = "p-${++sent}")).second.only<RelayEffect.Send>()
        val server = send.serverId.value
        pass(if (server == slow) 500 else 100)
        respond(send, ResponseHead(200, confidence = 90))
        on(RelayEvent.ResponseFinished(send.exchange, send.attempt))
        server
    }

    private fun List<String>.share(server: String): Double = count { it == server }.toDouble() / size

    @Test
    fun `a server that has become slow gets few requests`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        assertTrue(rig.serve(150).share("e-1") > 0.25)
        val share = rig.serve(200, slow = "e-1").share("e-1")
        assertTrue(share < 0.15, "$share")
    }

    @Test
    fun `without the limit on slowness a slow server keeps its share`() {
        val rig = RelayRig(policies = RelayPolicies(placement = AffinityPlacement(maximumSlowness = 100.0)))
        rig.start(RelayRig.engineServers).serve(150)
        assertTrue(rig.serve(200, slow = "e-1").share("e-1") > 0.25)
    }

    @Test
    fun `a server that was slow is tried again`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        rig.serve(150)
        rig.serve(100, slow = "e-1")
        rig.pass(10_000)
        assertTrue(rig.serve(100).share("e-1") > 0.25)
    }

    @Test
    fun `where all servers are slow all are used`() {
        val rig = RelayRig().start(RelayRig.engineServers.take(1))
        rig.serve(150)
        assertEquals(50, rig.serve(50, slow = "e-1").size)
    }
}
