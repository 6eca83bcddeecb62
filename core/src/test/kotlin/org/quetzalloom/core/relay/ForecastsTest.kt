package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.server.LoadReport
import kotlin.math.abs
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Forecasts follow what servers report and how long responses have taken. */
class ForecastsTest {
    private val prompt = RelayRig.prompt.copy(promptTokens = 10_000, outputTokens = 400, lengthHint = 100)
    private var sent = 0

    private fun RelayRig.send() = arrive(prompt.copy(callerId = "p-${++sent}")).second.only<RelayEffect.Send>()

    /** Serves [count] requests, which start after [startMilliseconds] and take 400 ms from then on. */
    private fun RelayRig.serve(count: Int, startMilliseconds: Long, percent: (String) -> Int? = { null }) =
        (1..count).map {
            val send = send()
            val server = send.serverId.value
            pass(startMilliseconds)
            val load = percent(server)?.let { LoadReport(1, 0, 64, workDurationPercent = it) }
            respond(send, ResponseHead(200, confidence = 90, load = load))
            pass(400)
            on(RelayEvent.ResponseFinished(send.exchange, send.attempt, events = 10))
            server
        }

    private fun RelayRig.forecastOfNext() = send().let { send ->
        state.exchanges.byId[send.exchange]?.attempt?.forecast
    }

    @Test
    fun `nothing is forecast before responses were seen`() {
        assertEquals(null, RelayRig().start(RelayRig.engineServers).forecastOfNext())
    }

    @Test
    fun `start and end are learned`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        rig.serve(150, startMilliseconds = 100)
        val forecast = checkNotNull(rig.forecastOfNext())
        assertTrue(abs(forecast.startMilliseconds - 100) <= 10, "$forecast")
        assertTrue(abs(forecast.endMilliseconds - 500) <= 60, "$forecast")
    }

    @Test
    fun `errors are fed back`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        rig.serve(150, startMilliseconds = 100)
        rig.serve(20, startMilliseconds = 300)
        val forecast = checkNotNull(rig.forecastOfNext())
        assertTrue(forecast.startMilliseconds > 150, "$forecast")
    }

    @Test
    fun `a server that reports longer work gets few requests`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        val servers = rig.serve(100, startMilliseconds = 100) { if (it == "e-1") 170 else 70 }
        assertTrue(servers.count { it == "e-1" } <= 2, "$servers")
    }

    @Test
    fun `routers tell each other how long work takes`() {
        val rig = RelayRig().start(RelayRig.engineServers)
        val durations = persistentMapOf(
            BackendServerId("e-1") to 170,
            BackendServerId("e-2") to 70,
            BackendServerId("e-3") to 170,
        )
        rig.on(RelayEvent.BeaconReceived(PeerBeacon(VmId("vm-2"), 1, persistentMapOf(), durations = durations)))
        assertEquals(setOf("e-2"), rig.serve(10, startMilliseconds = 100).toSet())
    }

    @Test
    fun `what servers reported since the last beacon is told`() {
        val rig = RelayRig().start(RelayRig.engineServers, members = 2)
        rig.pass(200)
        val send = rig.send()
        rig.respond(send, ResponseHead(200, confidence = 90, load = LoadReport(1, 0, 64, workDurationPercent = 170)))
        val told = rig.pass(400).filterIsInstance<RelayEffect.SendBeacon>().map { it.beacon.durations }
        assertTrue(told.any { it == mapOf(send.serverId to 170) })
        assertTrue(told.last().isEmpty())
    }
}
