package org.quetzalloom.core.relay

import kotlinx.collections.immutable.toPersistentList
import org.junit.jupiter.api.Test
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.rollout.RolloutOrder
import org.quetzalloom.core.relay.rollout.RolloutPhase
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A roll-out is completed only if no router holds the new version to be bad, and in time if it is good. */
class CompletionTest {
    private val order = RolloutOrder(RelayRig.plain, "v2", durationMilliseconds = 24_000)
    private val newServer = RelayRig.server("s-9", RelayRig.plain, version = "v2")

    private fun fleet(routers: Int, seed: Long, loss: Double = 0.0, failsFrom: Long = Long.MAX_VALUE) =
        RelayFleet(routers, seed, loss) { server, elapsed ->
            ResponseHead(status = if (server == newServer.id.value && elapsed >= failsFrom) FAILURE else SUCCESS)
        }.apply {
            write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table), FeedEntry.Rollout(order))
            write(Feed.SERVERS, *(RelayRig.plainServers + newServer).map { FeedEntry.Server(it) }.toTypedArray())
        }

    private fun RelayFleet.holdersOfCondemnation(): List<VmId> =
        vms.filter { states.getValue(it).rollouts.byService[RelayRig.plain]?.condemned == true }

    /**
     * Plays a roll-out of a version that begins to fail shortly before its end, while the store refuses all routers but
     * the leader, and half of all beacons are lost. Returns the phases written, each with the number of routers that
     * held the version to be bad.
     */
    private fun playLateFailure(
        seed: Long,
        received: RelayFleet.(VmId, PeerBeacon) -> PeerBeacon = { _, beacon -> beacon },
    ): List<Pair<RolloutPhase, Int>> {
        val failsFrom = FIRST_FAILURE + seed % FAILURE_STEPS * FAILURE_STEP
        val fleet = fleet(routers = 9, seed = seed, loss = 0.5, failsFrom = failsFrom)
        val written = mutableListOf<Pair<RolloutPhase, Int>>()
        fleet.onStatus = { _, phase -> written += phase to fleet.holdersOfCondemnation().size }
        fleet.tamper = { receiver, beacon -> fleet.received(receiver, beacon) }
        fleet.pass(LOAD_START)
        fleet.refused += fleet.vms - fleet.leader
        var turn = 0
        fleet.pass(order.durationMilliseconds - LOAD_START) {
            fleet.vms.filterIndexed { index, _ -> (index + turn) % ROUTERS_PER_REQUEST == 0 }
                .forEach { fleet.arrive(it, RelayRig.read) }
            turn++
        }
        return written
    }

    @Test
    fun `a completion never wins against a condemnation that a router holds`() {
        val outcomes = (1L..SEEDS).associateWith { seed -> playLateFailure(seed) }
        outcomes.forEach { (seed, written) ->
            val overruled = written.filter { it.first == RolloutPhase.COMPLETED && it.second > 0 }
            assertTrue(overruled.isEmpty(), "seed $seed: $written")
        }
        assertTrue(outcomes.values.any { it.last().first == RolloutPhase.REVERTED })
        assertTrue(outcomes.values.any { it.last().first == RolloutPhase.COMPLETED })
    }

    /** Without their agreement, the leader's own evidence is older than that of the others. */
    @Test
    fun `without the agreement of the others, completions win against condemnations`() {
        val overruled = (1L..SEEDS).count { seed ->
            playLateFailure(seed) { receiver, beacon -> withForgedAgreement(receiver, beacon) }
                .any { it.first == RolloutPhase.COMPLETED && it.second > 0 }
        }
        assertTrue(overruled > 0)
    }

    /** Returns [beacon] without its proposal, so that nobody is asked, and with the agreement of its sender. */
    private fun RelayFleet.withForgedAgreement(receiver: VmId, beacon: PeerBeacon): PeerBeacon {
        val proposal = states.getValue(receiver).rollouts.byService[RelayRig.plain]?.proposal
        val forged = beacon.rollouts.map {
            it.copy(proposal = null, agreement = proposal?.number, agreedWith = receiver)
        }
        return beacon.copy(rollouts = forged.toPersistentList())
    }

    @Test
    fun `a good version is completed in time by fleets of any size, though beacons are lost`() {
        for (routers in listOf(1, 2, 9, 40)) {
            val fleet = fleet(routers, seed = routers.toLong(), loss = 0.1)
            val written = mutableListOf<RolloutPhase>()
            fleet.onStatus = { _, phase -> written += phase }
            fleet.pass(order.durationMilliseconds)
            assertEquals(listOf(RolloutPhase.IN_PROGRESS, RolloutPhase.COMPLETED), written, "$routers routers")
        }
    }

    @Test
    fun `a router that stands still for long does not prevent a completion`() {
        val fleet = fleet(routers = 9, seed = 1)
        val written = mutableListOf<RolloutPhase>()
        fleet.onStatus = { _, phase -> written += phase }
        fleet.pass(20_000)
        fleet.paused += fleet.vms.last()
        fleet.pass(4_000)
        assertEquals(RolloutPhase.COMPLETED, written.last())
    }

    private companion object {
        const val SEEDS = 180L
        const val SUCCESS = 200
        const val FAILURE = 500

        /** All requests go to the new version 22,488 ms after its order is known; completion is due after 23,040 ms. */
        const val LOAD_START = 22_000L
        const val FIRST_FAILURE = 22_940L
        const val FAILURE_STEP = 20L
        const val FAILURE_STEPS = 36L
        const val ROUTERS_PER_REQUEST = 3
    }
}
