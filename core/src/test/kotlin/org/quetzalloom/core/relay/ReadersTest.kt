package org.quetzalloom.core.relay

import org.junit.jupiter.api.Test
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.access.readerAddressOrNull
import org.quetzalloom.core.relay.access.readers
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.time.Timestamp
import kotlin.test.assertTrue

/** In a large fleet a few routers read the store for all. The others learn of changes in time though readers fail. */
class ReadersTest {
    private fun fleet(routers: Int): RelayFleet = RelayFleet(routers, seed = routers.toLong()).apply {
        write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table))
        write(Feed.SERVERS, *RelayRig.plainServers.map { FeedEntry.Server(it) }.toTypedArray())
        pass(SETTLED)
    }

    private fun RelayFleet.readers(): List<VmId> = states.getValue(vms.first()).readers()

    private fun RelayFleet.version(vm: VmId): Long? = states.getValue(vm).configurationVersion

    /** Writes a configuration and a draining server; returns after how long all running [routers] know both. */
    private fun RelayFleet.timeToSpread(version: Long, routers: List<VmId> = vms): Long {
        val begin = elapsed
        write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table.copy(version = version)))
        write(Feed.SERVERS, FeedEntry.Server(RelayRig.plainServers.first().copy(draining = true, sequence = version)))
        while (routers.any { it !in paused && !(version(it) == version && knowsDraining(it)) }) {
            pass(RelayRig.TICK)
            check(elapsed - begin < PATIENCE) { "not known everywhere after ${elapsed - begin} ms" }
        }
        return elapsed - begin
    }

    private fun RelayFleet.knowsDraining(vm: VmId): Boolean =
        states.getValue(vm).servers.views[RelayRig.plainServers.first().id]?.listing?.draining == true

    @Test
    fun `the calls to the store hardly grow with the fleet`() {
        val calls = listOf(40, 120).map { routers ->
            val fleet = fleet(routers)
            val before = fleet.storeCalls
            fleet.pass(10_000)
            fleet.storeCalls - before
        }
        assertTrue(calls[1] <= calls[0] * 1.5, "$calls")
        assertTrue(calls[1] <= 200, "$calls in 10 s")
    }

    /** Each of them reads for itself, so a fleet without readers makes many more calls. */
    @Test
    fun `a small fleet has no readers`() {
        val fleet = fleet(9)
        assertTrue(fleet.vms.all { fleet.states.getValue(it).readerAddressOrNull(Timestamp(0)) == null })
    }

    @Test
    fun `a change is known everywhere at once while all readers answer`() {
        assertTrue(fleet(40).timeToSpread(version = 8) <= 1_100)
    }

    /** The shortest time in which fleets of this size must have stopped using a server that drains is 3 s. */
    @Test
    fun `a change is known in time while one, two or all readers stand still`() {
        for (count in 1..3) {
            val fleet = fleet(40)
            fleet.readers().take(count).forEach { fleet.pause(it) }
            val time = fleet.timeToSpread(version = 8)
            assertTrue(time <= 2_500, "$time ms with $count readers paused")
        }
    }

    @Test
    fun `a change is known in time while the store refuses all readers`() {
        val fleet = fleet(40)
        fleet.refused += fleet.readers()
        val time = fleet.timeToSpread(version = 8, routers = fleet.vms - fleet.readers().toSet())
        assertTrue(time <= 2_500, "$time ms")
    }

    @Test
    fun `routers that the store refuses still learn of changes through readers`() {
        val fleet = fleet(40)
        fleet.refused += fleet.vms - fleet.readers()
        assertTrue(fleet.timeToSpread(version = 8) <= 1_100)
    }

    @Test
    fun `readers that are replaced while others join do not take anything back`() {
        val fleet = fleet(40)
        var version = 8L
        repeat(5) { round ->
            fleet.timeToSpread(version)
            fleet.paused -= fleet.paused
            fleet.pause(fleet.readers()[round % 3])
            fleet.pass(4_000)
            assertTrue(fleet.vms.filter { it !in fleet.paused }.all { fleet.version(it) == version })
            version++
        }
    }

    private companion object {
        /** All routers have joined and listed each other. */
        const val SETTLED = 8_000L
        const val PATIENCE = 20_000L
    }
}
