package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** All routers know in time that a server leaves, though the answers of several readers don't reach some of them. */
class LeavingServersSpreadTest {
    private val server = RelayRig.plainServers.first()

    private fun ReaderFleet.timeToKnow(): Long {
        val begin = fleet.elapsed
        while (fleet.vms.any { !knows(it) } && fleet.elapsed - begin < ReaderFleet.PATIENCE) fleet.pass(RelayRig.TICK)
        return fleet.elapsed - begin
    }

    private fun ReaderFleet.knows(vm: VmId): Boolean = fleet.knows(vm)

    private fun RelayFleet.knows(vm: VmId): Boolean =
        states.getValue(vm).servers.views[server.id]?.let { it.leaving || it.listing.draining } ?: true

    /** Nothing of the [first] routers in the order reaches a third of the routers from now on. */
    private fun ReaderFleet.cutOff(first: Int, random: Random) {
        val silent = readers.take(first)
        val others = fleet.vms.filter { it !in silent }.shuffled(random).take(fleet.vms.size / 3)
        fleet.cutLinks += silent.flatMap { reader -> others.map { reader to it } }
    }

    private fun times(routers: Int, bound: Long, change: ReaderFleet.() -> Unit): List<Long> = (1L..SEEDS).map { seed ->
        ReaderFleet(routers, bound, seed).run {
            val random = Random(seed)
            fleet.pass(seed * PHASE)
            cutOff(READERS, random)
            change()
            timeToKnow()
        }
    }

    @Test
    fun `a server that drains is known in time where the answers of five readers are lost`() {
        val bounds = listOf(ReaderFleet.SHORT_BOUND, ReaderFleet.BOUND)
        val times = listOf(ROUTERS, LARGE_FLEET).flatMap { routers -> bounds.map { routers to it } }.associateWith {
            times(routers = it.first, bound = it.second) {
                fleet.write(Feed.SERVERS, FeedEntry.Server(server.copy(draining = true, sequence = 2)))
            }
        }
        val isInTime = times.all { (case, ofCase) -> ofCase.all { it <= case.second - ReaderFleet.MARGIN } }
        assertTrue(isInTime, "times by routers and bound: $times")
    }

    @Test
    fun `a server that announces its leaving to one router is known to all in time, also while the store is down`() {
        val seed = 1L
        var leaving = false
        val fleet = RelayFleet(ROUTERS, seed) { id, _ -> ResponseHead(200, leaving = leaving && id == server.id.value) }
        fleet.write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table))
        fleet.write(Feed.SERVERS, FeedEntry.Server(server))
        fleet.pass(SETTLED)
        fleet.store.isDown = true
        leaving = true
        fleet.arrive(fleet.vms.first(), RelayRig.read)
        fleet.pass(SPREAD)
        val unaware = fleet.vms.filterNot { fleet.knows(it) }
        assertTrue(unaware.isEmpty(), "$unaware")
    }

    private companion object {
        const val SEEDS = 8L
        const val PHASE = 130L
        const val READERS = 5
        const val ROUTERS = 24
        const val LARGE_FLEET = 67
        const val SETTLED = 8_000L
        const val SPREAD = 1_000L
    }
}
