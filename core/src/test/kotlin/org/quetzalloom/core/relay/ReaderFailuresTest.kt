package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.reducer.PartsReducer
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedAnswer
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** All routers learn of a change within the bound, however their reader fails just before it. */
class ReaderFailuresTest {
    /** What happens to a fleet, and which routers need not learn of the change. */
    private class Failure(val name: String, val excused: (VmId) -> List<VmId>, val begin: ReaderFleet.(VmId) -> Unit)

    private val failures = listOf(
        Failure("paused", { listOf(it) }) { fleet.pause(it) },
        Failure("restarted", { listOf(it) }) { fleet.restart(it) },
        Failure("cut from the other routers", { listOf(it) }) { reader ->
            fleet.cutLinks += fleet.vms.flatMap { listOf(it to reader, reader to it) }
        },
        Failure("answers lost", { listOf(it) }) { reader -> fleet.cutLinks += fleet.vms.map { reader to it } },
        Failure("cut from half of the others", { emptyList() }) { reader ->
            fleet.cutLinks += fleet.vms.filterIndexed { index, _ -> index % 2 == 0 }.map { reader to it }
        },
        Failure("cut from the store", { listOf(it) }) { fleet.store.silentTo += it },
        Failure("closed out by the store", { listOf(it) }) { fleet.refused += it },
        Failure("old news", { emptyList() }) { tellOldNews(it) },
    )

    /** Lets [reader] answer what it would have answered now for ever, as of the time of the answer. */
    private fun ReaderFleet.tellOldNews(reader: VmId) {
        val ends = Feed.entries.associateWith { fleet.store.endOf(it) - 1 }
        fleet.tamperAnswer = { vm, feed, answer ->
            val old = FeedAnswer(persistentListOf(), ends.getValue(feed), snapshot = false, 0, null, generation = 0)
            if (vm == reader) old else answer
        }
    }

    private fun timeToSpread(
        failure: Failure,
        routers: Int,
        bound: Long,
        wait: Long,
        reducer: Reducer<RelayState, RelayEvent, RelayEffect> = RelayReducer,
    ): Long {
        val readers = ReaderFleet(routers, bound, seed = routers + wait, reducer = reducer)
        val reader = readers.readers.first()
        readers.fleet.pass(wait)
        failure.begin(readers, reader)
        return readers.timeToSpread(readers.fleet.vms - failure.excused(reader).toSet())
    }

    /** The worst time over fleets, and over the moments at which the reader fails. */
    private fun worstTime(
        failure: Failure,
        bound: Long,
        reducer: Reducer<RelayState, RelayEvent, RelayEffect> = RelayReducer,
    ): Long = listOf(2, 7, 24).maxOf { routers ->
        (0L..LATEST_FAILURE step FAILURE_STEP).maxOf { timeToSpread(failure, routers, bound, it, reducer) }
    }

    @Test
    fun `a change is known in time when the reader fails just before it`() {
        for (bound in listOf(ReaderFleet.SHORT_BOUND, ReaderFleet.BOUND)) {
            val times = failures.associate { it.name to worstTime(it, bound) }
            assertTrue(times.values.all { it <= bound - ReaderFleet.MARGIN }, "bound $bound: $times")
        }
    }

    /** The bounds are longer for a router that the store refuses itself. */
    @Test
    fun `routers that the store refuses learn of a change through others`() {
        for (count in listOf(1, 2, 3, 12, 23)) {
            val readers = ReaderFleet(routers = 24, seed = count.toLong())
            readers.fleet.refused += readers.readers.take(count)
            val time = readers.timeToSpread()
            assertTrue(time <= ReaderFleet.BOUND + STRETCH, "$time ms with $count refused")
            readers.fleet.pass(5_000)
            val next = readers.timeToSpread()
            assertTrue(next <= ReaderFleet.BOUND, "$next ms later with $count refused")
        }
    }

    @Test
    fun `a change is known in time while the reader and its standby stand still`() {
        val readers = ReaderFleet(routers = 24)
        readers.readers.take(2).forEach { readers.fleet.pause(it) }
        val time = readers.timeToSpread()
        assertTrue(time <= ReaderFleet.BOUND, "$time ms")
    }

    private fun without(
        event: (RelayEvent) -> RelayEvent = { it },
        change: (RelayState) -> RelayState,
    ): Reducer<RelayState, RelayEvent, RelayEffect> = Reducer { state, received, now ->
        RelayReducer.reduce(state, event(received), now).let { it.copy(state = change(it.state)) }
    }

    private fun failure(name: String): Failure = failures.first { it.name == name }

    @Test
    fun `a reader that is neither replaced nor passed over keeps a change from the others`() {
        val reducer = without {
            it.copy(
                readers = it.readers.copy(suspicions = persistentMapOf()),
                feeds = it.feeds.withoutOwnReadsAndChecks(),
            )
        }
        val time = worstTime(failure("paused"), ReaderFleet.SHORT_BOUND, reducer)
        assertTrue(time > ReaderFleet.SHORT_BOUND, "$time ms")
    }

    @Test
    fun `without the age of its records, a reader that cannot read is not replaced`() {
        val reducer = without({ if (it is RelayEvent.FeedRead) it.copy(ageMilliseconds = 0) else it }) { it }
        val time = worstTime(failure("cut from the store"), ReaderFleet.SHORT_BOUND, reducer)
        assertTrue(time > ReaderFleet.SHORT_BOUND, "$time ms")
    }

    @Test
    fun `a reader with old news is followed if its offsets are not compared`() {
        val reducer = PartsReducer(RelayReducer.parts)
        assertEquals(ReaderFleet.PATIENCE, worstTime(failure("old news"), ReaderFleet.BOUND, reducer))
    }

    @Test
    fun `a change is known in time though calls between routers are lost or answered twice`() {
        for (seed in 1L..5L) {
            val readers = ReaderFleet(routers = 24, seed = seed)
            readers.fleet.callLoss = 0.02
            readers.fleet.doubled = 0.05
            repeat(4) {
                val time = readers.timeToSpread()
                assertTrue(time <= ReaderFleet.BOUND - ReaderFleet.MARGIN, "seed $seed: $time ms")
                readers.fleet.pass(3_000)
            }
        }
    }

    @Test
    fun `a change is known in time while the store answers late, and once it answers again`() {
        val readers = ReaderFleet(routers = 24)
        readers.fleet.store.responseMilliseconds = 300
        assertTrue(readers.timeToSpread() <= ReaderFleet.BOUND)
        readers.fleet.store.responseMilliseconds = 0
        readers.fleet.store.isDown = true
        readers.fleet.pass(10_000)
        readers.fleet.store.isDown = false
        val time = readers.timeToSpread()
        assertTrue(time <= ReaderFleet.BOUND, "$time ms after the outage")
    }

    /** Its read of the store waited for a change until its records were so old that the others left it out, too. */
    @Test
    fun `a router that takes over as the reader is not left out for its old records`() {
        for (bound in listOf(ReaderFleet.SHORT_BOUND, ReaderFleet.BOUND)) {
            for (wait in 0L..LATEST_FAILURE step FAILURE_STEP) {
                val readers = ReaderFleet(routers = 7, bound = bound)
                val (first, second) = readers.readers
                readers.fleet.pass(wait)
                readers.fleet.refused += first
                readers.fleet.pass(bound)
                val leftOutBy = readers.fleet.states.filterValues { second in it.readers.suspicions }.keys
                assertTrue(leftOutBy.isEmpty(), "bound $bound, after $wait ms: $leftOutBy")
            }
        }
    }

    @Test
    fun `offsets never go back while readers are replaced`() {
        val readers = ReaderFleet(routers = 24)
        val fleet = readers.fleet
        var offsets = fleet.states.mapValues { (_, state) -> state.feeds.of(Feed.SERVERS).nextOffset ?: 0 }
        repeat(6) { round ->
            fleet.paused -= fleet.paused
            fleet.pause(readers.readers[round % 2])
            repeat(4) {
                readers.timeToSpread()
                val next = fleet.states.mapValues { (_, state) -> state.feeds.of(Feed.SERVERS).nextOffset ?: 0 }
                assertTrue(next.all { (vm, offset) -> offset >= offsets.getValue(vm) })
                offsets = next
            }
        }
    }

    private companion object {
        const val LATEST_FAILURE = 1_000L
        const val FAILURE_STEP = 250L
        const val STRETCH = 5_000L
    }
}
