package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import kotlin.test.Test
import kotlin.test.assertTrue

/** Callers of routers that reach no backend server were served far worse than those of the others. */
class CutFromServersTest {
    private val cuts = mapOf(
        "silent" to { ServerCut(connectMilliseconds = 400, hangingConnections = 2) },
        "reset" to { ServerCut(connectMilliseconds = 1, hangingConnections = 0) },
    )

    /** Sends requests to all routers and counts those that were served. */
    private class Load(private val fleet: RelayFleet) {
        private class Arrival(val vm: VmId, val at: Long)

        private val arrivals = mutableMapOf<Pair<VmId, ExchangeId>, Arrival>()
        private val served = mutableSetOf<Pair<VmId, ExchangeId>>()
        private val kinds = listOf(RelayRig.read, RelayRig.command, RelayRig.prompt)
        private var ticks = 0

        init {
            fleet.onEnd = { vm, exchange, isServed -> if (isServed) served += vm to exchange }
        }

        fun tick() {
            ticks++
            fleet.vms.forEachIndexed { index, vm ->
                if ((ticks + index) % TICKS_PER_REQUEST == 0) send(vm, kinds[ticks / TICKS_PER_REQUEST % kinds.size])
            }
        }

        private fun send(vm: VmId, request: RelayRequest) {
            arrivals[vm to fleet.arrive(vm, request)] = Arrival(vm, fleet.elapsed)
        }

        /** Returns the share of the requests that arrived at [vms] in [period] and were served. */
        fun servedShare(vms: Set<VmId>, period: LongRange): Double {
            val counted = arrivals.filterValues { it.vm in vms && it.at in period }.keys
            return counted.count { it in served }.toDouble() / counted.size
        }
    }

    private fun fleet(seed: Long): RelayFleet = RelayFleet(
        routers = 6,
        seed = seed,
        initialState = { RelayState.initial(RelayRig.settings(it.value).copy(callerPort = 80)) },
    ).apply {
        val servers = RelayRig.plainServers + RelayRig.engineServers
        write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table))
        write(Feed.SERVERS, *servers.map { FeedEntry.Server(it) }.toTypedArray())
        pass(SETTLED)
    }

    /** Returns the served shares at routers that are cut off and at the others, in the period that counts. */
    private fun play(seed: Long, cutCount: Int, cut: () -> ServerCut): Pair<Double, Double> {
        val fleet = fleet(seed)
        val load = Load(fleet)
        val cutOff = fleet.vms.take(cutCount).toSet()
        fleet.pass(BEFORE) { load.tick() }
        cutOff.forEach { fleet.cutFromServers[it] = cut() }
        val counted = fleet.elapsed + CONTACT..fleet.elapsed + CUT
        fleet.pass(CUT) { load.tick() }
        fleet.cutFromServers.clear()
        fleet.pass(AFTER) { load.tick() }
        return load.servedShare(cutOff, counted) to load.servedShare(fleet.vms.toSet() - cutOff, counted)
    }

    @Test
    fun `callers of routers that reach no server are served nearly as often as others`() {
        for ((name, cut) in cuts) {
            for (cutCount in listOf(1, 3, 5)) {
                for (seed in 1L..SEEDS) {
                    val (atCut, atOthers) = play(seed, cutCount, cut)
                    assertTrue(atCut >= atOthers * 2 / 3, "$name, $cutCount cut off, seed $seed: $atCut, $atOthers")
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 4L
        const val TICKS_PER_REQUEST = 4
        const val SETTLED = 8_000L
        const val BEFORE = 2_000L
        const val CUT = 12_000L

        /** How long after the start of the cut the callers of both are compared. */
        const val CONTACT = 3_000L
        const val AFTER = 4_000L
    }
}
