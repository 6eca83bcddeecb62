package org.quetzalloom.core.relay

import org.junit.jupiter.api.Test
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import kotlin.test.assertTrue

/** One router reads the store for all. The others learn of changes in time though readers fail. */
class ReadersTest {
    private fun fleet(routers: Int, bound: Long = BOUND, seed: Long = routers.toLong()): RelayFleet = RelayFleet(
        routers,
        seed = System.getProperty("seed")?.toLong() ?: seed,
        settings = { RelayRig.settings(it.value).copy(changeBoundMilliseconds = bound) },
    ).apply {
        write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table))
        write(Feed.SERVERS, *RelayRig.plainServers.map { FeedEntry.Server(it) }.toTypedArray())
        pass(SETTLED)
    }

    private fun RelayFleet.readers(): List<VmId> = states.getValue(vms.first()).members.readerOrder

    private fun RelayFleet.version(vm: VmId): Long? = states.getValue(vm).configurationVersion

    /** Writes a configuration and a draining server; returns after how long all running [routers] know both. */
    private fun RelayFleet.timeToSpread(version: Long, routers: List<VmId> = vms): Long {
        val begin = elapsed
        write(Feed.ORDERS, FeedEntry.Configuration(RelayRig.table.copy(version = version)))
        write(Feed.SERVERS, FeedEntry.Server(RelayRig.plainServers.first().copy(draining = true, sequence = version)))
        while (routers.any { it !in paused && !(version(it) == version && knowsDraining(it, version)) }) {
            pass(RelayRig.TICK)
            check(elapsed - begin < PATIENCE) { "not known everywhere after ${elapsed - begin} ms" }
        }
        return elapsed - begin
    }

    private fun RelayFleet.knowsDraining(vm: VmId, sequence: Long): Boolean =
        states.getValue(vm).servers.views[RelayRig.plainServers.first().id]?.listing
            ?.let { it.draining && it.startedAt == 1L && it.sequence <= sequence } ?: false

    /** Counts the calls of [milliseconds], in which all servers renew their entries; a join counts as a tenth. */
    private fun RelayFleet.callsIn(milliseconds: Long): Double {
        val before = store.calls + store.joins / JOINS_PER_CALL
        var sequence = 100L
        repeat((milliseconds / HEARTBEAT).toInt()) {
            sequence++
            RelayRig.plainServers.forEach { write(Feed.SERVERS, FeedEntry.Server(it.copy(sequence = sequence))) }
            pass(HEARTBEAT)
        }
        return store.calls + store.joins / JOINS_PER_CALL - before
    }

    @Test
    fun `the calls to the store hardly grow with the fleet`() {
        val calls = listOf(3, 30, 300).map { fleet(it).callsIn(30_000) }
        assertTrue(calls.all { it <= 4.0 * 30 }, "$calls in 30 s")
        assertTrue(calls[2] <= calls[1] * 1.5, "$calls")
    }

    /** A router that starts lists the members once, and the one that comes first reads the store again. */
    @Test
    fun `routers that start get their snapshots from the reader`() {
        val fleet = fleet(40)
        val started = fleet.readers().drop(1).take(20)
        val before = started.associateWith { fleet.store.callsByVm.getValue(it) }
        started.forEach { fleet.restart(it) }
        fleet.pass(2_000)
        assertTrue(fleet.vms.all { fleet.version(it) == RelayRig.table.version })
        val calls = started.map { fleet.store.callsByVm.getValue(it) - before.getValue(it) }
        assertTrue(calls.all { it <= 1 }, "$calls")
    }

    @Test
    fun `a change is known everywhere at once while the reader answers`() {
        for (routers in listOf(2, 7, 40)) {
            val time = fleet(routers).timeToSpread(version = 8)
            assertTrue(time <= 1_100, "$time ms among $routers")
        }
    }

    @Test
    fun `a change is known in time while the reader stands still`() {
        for (routers in listOf(2, 7, 40)) {
            for (bound in listOf(2_000L, BOUND)) {
                for (wait in 0L..900L step 180L) {
                    val fleet = fleet(routers, bound)
                    fleet.pass(wait)
                    fleet.pause(fleet.readers().first())
                    val time = fleet.timeToSpread(version = 8)
                    assertTrue(time <= bound - MARGIN, "$time ms of $bound among $routers")
                }
            }
        }
    }

    private companion object {
        /** All routers have joined and listed each other. */
        const val SETTLED = 8_000L
        const val PATIENCE = 20_000L
        const val BOUND = 3_000L
        const val HEARTBEAT = 200L
        const val JOINS_PER_CALL = 10.0

        /** What a request may still take from its placement until it arrives. */
        const val MARGIN = 200L
    }
}
