package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.peer.PeerBeacon
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Routers report to each other the prompts that servers have still to read, and place requests accordingly. */
class PeersTest {
    private val prompt = RelayRig.prompt.copy(promptTokens = 1_000)

    private fun beacon(sequence: Long, vararg work: Pair<String, Long>) = PeerBeacon(
        vm = VmId("vm-2"),
        sequence = sequence,
        work = work.fold(persistentMapOf()) { all, (server, tokens) -> all.put(BackendServerId(server), tokens) },
    )

    private fun RelayRig.chosen(number: Int): String {
        val (id, effects) = arrive(prompt.copy(callerId = "p-$number"))
        on(RelayEvent.CallerLeft(id))
        return effects.only<RelayEffect.Send>().serverId.value
    }

    @Test
    fun `work is reported while prompts are read, and no longer once the response has begun`() {
        val rig = RelayRig().start(RelayRig.engineServers, members = 3)
        val send = rig.arrive(prompt).second.only<RelayEffect.Send>()
        val sentBeacon = rig.pass(100).only<RelayEffect.SendBeacon>()
        assertEquals(listOf("10.0.0.2:70", "10.0.0.3:70"), sentBeacon.addresses.sorted())
        assertEquals(mapOf(send.serverId to 1_000L), sentBeacon.beacon.work)
        rig.respond(send, ResponseHead(200, confidence = 90))
        assertTrue(rig.pass(100).only<RelayEffect.SendBeacon>().beacon.work.isEmpty())
    }

    @Test
    fun `servers at which other routers have work are chosen last`() {
        val rig = RelayRig().start(RelayRig.engineServers, members = 2)
        rig.on(RelayEvent.BeaconReceived(beacon(sequence = 1, "e-1" to 9_000, "e-2" to 9_000)))
        assertEquals(setOf("e-3"), (1..20).map { rig.chosen(it) }.toSet())
    }

    @Test
    fun `beacons that are stale or out of order are ignored`() {
        val rig = RelayRig().start(RelayRig.engineServers, members = 2)
        rig.on(RelayEvent.BeaconReceived(beacon(sequence = 2)))
        rig.on(RelayEvent.BeaconReceived(beacon(sequence = 1, "e-1" to 9_000, "e-2" to 9_000)))
        assertEquals(3, (1..40).map { rig.chosen(it) }.toSet().size)
        rig.on(RelayEvent.BeaconReceived(beacon(sequence = 3, "e-1" to 9_000, "e-2" to 9_000)))
        rig.pass(1_000)
        assertEquals(3, (41..80).map { rig.chosen(it) }.toSet().size)
    }

    @Test
    fun `beacons of a restarted router are accepted, though their sequence starts again`() {
        val rig = RelayRig().start(RelayRig.engineServers, members = 2)
        rig.on(RelayEvent.BeaconReceived(beacon(sequence = 90)))
        rig.pass(1_000)
        rig.on(RelayEvent.BeaconReceived(beacon(sequence = 1, "e-1" to 9_000, "e-2" to 9_000)))
        assertEquals(setOf("e-3"), (1..20).map { rig.chosen(it) }.toSet())
    }

    @Test
    fun `the number of receivers of a beacon does not grow with the fleet`() {
        val rig = RelayRig().start(RelayRig.engineServers, members = 400)
        assertEquals(8, rig.pass(100).only<RelayEffect.SendBeacon>().addresses.size)
    }
}
