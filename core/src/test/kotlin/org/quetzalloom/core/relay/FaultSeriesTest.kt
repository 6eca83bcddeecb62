package org.quetzalloom.core.relay

import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.reducer.Reducer
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Routers in touch know each change within the bound while faults of routers, links and the store follow each other and
 * overlap. More seeds are played with `-Dseeds=N`, from `-DfirstSeed=N` on, and one kind of fault with `-Dkind=NAME`.
 */
class FaultSeriesTest {
    private val seeds = System.getProperty("firstSeed", "1").toLong().let {
        it until it + System.getProperty("seeds", "2").toLong()
    }

    private class Setup(val routers: Int, val configurationBytes: Int = 0, val holdsReads: Boolean = false)

    private fun series(
        setup: Setup,
        kinds: List<FaultKind>,
        seed: Long,
        reducer: Reducer<RelayState, RelayEvent, RelayEffect> = RelayReducer,
    ): FaultSeries {
        val readers = ReaderFleet(setup.routers, ReaderFleet.SHORT_BOUND, seed, reducer)
        readers.fleet.store.configurationBytes = setup.configurationBytes
        return FaultSeries(readers, kinds, seed, setup.holdsReads)
    }

    /** Runs series with all sizes and seeds, and returns what [problem] says of each, with the name of the series. */
    private fun problems(
        kinds: List<FaultKind>,
        holdsReads: Boolean,
        problem: (FaultSeries) -> String?,
    ): List<String> = listOf(6, 24).flatMap { routers ->
        listOf(0, LARGE_CONFIGURATION).flatMap { bytes ->
            seeds.mapNotNull { seed ->
                val series = series(Setup(routers, bytes, holdsReads), kinds, seed)
                series.run(DURATION)
                problem(series)?.let { "$kinds, $routers routers, $bytes bytes, seed $seed: $it" }
            }
        }
    }

    private fun assertInTime(sets: List<List<FaultKind>>, holdsReads: Boolean = false) {
        val late = sets.flatMap { kinds ->
            problems(kinds, holdsReads) { series ->
                series.description.takeIf { series.longestDelay > ReaderFleet.SHORT_BOUND - ReaderFleet.MARGIN }
            }
        }
        assertTrue(late.isEmpty(), late.joinToString("\n"))
    }

    private fun assertTrueAges(sets: List<List<FaultKind>>, holdsReads: Boolean = false) {
        val young = sets.flatMap { kinds ->
            problems(kinds, holdsReads) { series ->
                series.understatement.takeIf { series.longestUnderstatement > AGE_TOLERANCE }
            }
        }
        assertTrue(young.isEmpty(), young.joinToString("\n"))
    }

    /** The kinds to play, each by itself. */
    private fun kinds(): List<List<FaultKind>> {
        val kind = System.getProperty("kind")
        return FaultKind.entries.filter { kind == null || it.name == kind }.map { listOf(it) }
    }

    @Test
    fun `changes are known in time beside faults of one kind`() {
        assertInTime(kinds())
    }

    @Test
    fun `changes are known in time while the store holds reads, beside faults of one kind`() {
        assertInTime(kinds(), holdsReads = true)
    }

    @Test
    fun `changes are known in time while the store holds reads, beside faults of all kinds`() {
        assertInTime(listOf(FaultKind.entries), holdsReads = true)
    }

    @Test
    fun `no router takes its records for younger than they are`() {
        assertTrueAges(kinds())
        assertTrueAges(listOf(FaultKind.entries), holdsReads = true)
    }

    @Test
    fun `changes are known in time beside faults of all kinds`() {
        assertInTime(listOf(FaultKind.entries))
    }

    /** Returns the longest delay of all seeds with [reducer]. */
    private fun longestDelay(
        routers: Int,
        kind: FaultKind,
        bytes: Int,
        reducer: Reducer<RelayState, RelayEvent, RelayEffect>,
    ): Long = (1L..SEEDS_WITHOUT).maxOf { series(Setup(routers, bytes), listOf(kind), it, reducer).run(DURATION) }

    @Test
    fun `without own reads and checks, a change is late behind silent routers`() {
        val reducer = Reducer<RelayState, RelayEvent, RelayEffect> { state, event, now ->
            RelayReducer.reduce(state.copy(feeds = state.feeds.withoutOwnReadsAndChecks()), event, now)
        }
        val delay = longestDelay(routers = 24, FaultKind.CUT_OUTGOING, bytes = 0, reducer)
        assertTrue(delay > ReaderFleet.SHORT_BOUND, "$delay ms")
    }

    @Test
    fun `without reads of the newest records, a change is late while the store holds reads`() {
        val reducer = Reducer<RelayState, RelayEvent, RelayEffect> { state, event, now ->
            val cursors = state.feeds.cursors.mapValues { (_, cursor) -> cursor.copy(readsNewest = true) }
            RelayReducer.reduce(state.copy(feeds = state.feeds.copy(cursors = cursors.toPersistentMap())), event, now)
        }
        val delay = (1L..SEEDS_WITHOUT).maxOf {
            series(Setup(routers = 6, holdsReads = true), listOf(FaultKind.CUT_OUTGOING), it, reducer).run(DURATION)
        }
        assertTrue(delay > ReaderFleet.SHORT_BOUND, "$delay ms")
    }

    private companion object {
        const val DURATION = 40_000L
        const val SEEDS_WITHOUT = 6L

        /** The time between two ticks, and that in which a response that is sent at once arrives. */
        const val AGE_TOLERANCE = 40L

        /** Longer than what routers pass on to each other. */
        const val LARGE_CONFIGURATION = 100_000
    }
}
