package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.time.Timestamp
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertTrue

/** Routers that reach the store know changes in time, whichever of the others are cut off from it together. */
class CutOffReadersTest {
    private fun fleet(
        routers: Int,
        bound: Long,
        seed: Long,
        configurationBytes: Int,
        reducer: Reducer<RelayState, RelayEvent, RelayEffect> = RelayReducer,
    ): ReaderFleet =
        ReaderFleet(routers, bound, seed, reducer).apply {
            fleet.store.configurationBytes = configurationBytes
            fleet.pass(seed * PHASE)
        }

    /** Returns the longer of the times that two changes take among the routers that are not cut off. */
    private fun ReaderFleet.timeWithout(cutOff: List<VmId>): Long {
        fleet.store.silentTo += cutOff
        val others = fleet.vms - cutOff.toSet()
        return maxOf(timeToSpread(others), timeToSpread(others))
    }

    /** Cuts the links between [cutOff] and most other routers, which some of them reach and others don't. */
    private fun ReaderFleet.cutLinks(cutOff: List<VmId>, random: Random) {
        fleet.cutLinks += cutOff.flatMap { vm ->
            fleet.vms.filter { random.nextInt(LINKS) < CUT_LINKS }.flatMap { listOf(vm to it, it to vm) }
        }
    }

    /** Returns a third of the routers, among them the first two in the order. */
    private fun ReaderFleet.third(random: Random): List<VmId> =
        (readers.take(2) + fleet.vms.shuffled(random)).distinct().take(fleet.vms.size / 3)

    private fun assertInTime(name: String, bound: Long, times: List<Long>) =
        assertTrue(times.all { it <= bound - ReaderFleet.MARGIN }, "$name, bound $bound: $times")

    @Test
    fun `a change is known in time when the first routers in the order are cut off from the store`() {
        for (bound in listOf(ReaderFleet.SHORT_BOUND, ReaderFleet.BOUND)) {
            for (count in 2..4) {
                val times = (1L..SEEDS).map { seed ->
                    fleet(ROUTERS, bound, seed, LARGE_CONFIGURATION).run { timeWithout(readers.take(count)) }
                }
                assertInTime("$count cut off", bound, times)
            }
        }
    }

    @Test
    fun `a change is known in time when a third of the routers are cut off from the store and most others`() {
        for (routers in listOf(6, ROUTERS)) {
            for (bytes in listOf(0, LARGE_CONFIGURATION)) {
                val times = (1L..SEEDS).map { seed ->
                    fleet(routers, ReaderFleet.SHORT_BOUND, seed, bytes).run {
                        val random = Random(seed)
                        val cutOff = third(random)
                        cutLinks(cutOff, random)
                        timeWithout(cutOff)
                    }
                }
                assertInTime("$routers routers, $bytes bytes", ReaderFleet.SHORT_BOUND, times)
            }
        }
    }

    /** Returns the times with the first two routers cut off, with [reducer], after a [change] of the fleet. */
    private fun timesWithTwoCutOff(
        reducer: Reducer<RelayState, RelayEvent, RelayEffect> = RelayReducer,
        change: RelayFleet.() -> Unit = {},
    ): List<Long> = (1L..SEEDS).map { seed ->
        fleet(ROUTERS, ReaderFleet.SHORT_BOUND, seed, LARGE_CONFIGURATION, reducer).run {
            fleet.change()
            timeWithout(readers.take(2))
        }
    }

    @Test
    fun `a change is late if no other router checks the store`() {
        val withoutOwnReads = Reducer<RelayState, RelayEvent, RelayEffect> { state, event, now ->
            RelayReducer.reduce(state.copy(feeds = state.feeds.withoutOwnReads()), event, now)
        }
        val withoutChecks = Reducer<RelayState, RelayEvent, RelayEffect> { state, event, now ->
            RelayReducer.reduce(state.copy(feeds = state.feeds.withoutOwnReadsAndChecks()), event, now)
        }
        val checksAlone = Reducer<RelayState, RelayEvent, RelayEffect> { state, event, now ->
            val feeds = state.feeds.withoutOwnReads()
            val untold = feeds.copy(store = feeds.store.copy(readAt = Timestamp.EPOCH))
            RelayReducer.reduce(state.copy(feeds = untold), event, now)
        }
        assertInTime("checked", ReaderFleet.SHORT_BOUND, timesWithTwoCutOff(withoutOwnReads))
        assertInTime("checked, not told", ReaderFleet.SHORT_BOUND, timesWithTwoCutOff(checksAlone))
        val times = timesWithTwoCutOff(withoutChecks)
        assertTrue(times.any { it > ReaderFleet.SHORT_BOUND }, "$times")
    }

    /** Lets only the first routers after the reader and its standby check the store. */
    private val fewChecks = Reducer<RelayState, RelayEvent, RelayEffect> { state, event, now ->
        val checks = state.members.readerOrder.indexOf(state.settings.vm) < FIRST_WITHOUT_CHECK
        val store = if (checks) state.feeds.store else state.feeds.store.copy(checkedAt = now)
        RelayReducer.reduce(state.copy(feeds = state.feeds.copy(store = store)), event, now)
    }

    @Test
    fun `if few routers check the store, a change is late if they do not tell that they have read it`() {
        assertInTime("told", ReaderFleet.SHORT_BOUND, timesWithTwoCutOff(fewChecks))
        val times = timesWithTwoCutOff(fewChecks) {
            tamper = { _, beacon -> beacon.copy(storeReadMillisecondsAgo = null) }
        }
        assertTrue(times.any { it > ReaderFleet.SHORT_BOUND }, "$times")
    }

    private companion object {
        const val SEEDS = 30L
        const val ROUTERS = 24
        const val PHASE = 130L

        /** The reader, its standby and the four routers of the first round come before. */
        const val FIRST_WITHOUT_CHECK = 6

        /** Two of three links are cut. */
        const val LINKS = 3
        const val CUT_LINKS = 2

        /** Longer than what routers pass on to each other. */
        const val LARGE_CONFIGURATION = 100_000
    }
}
