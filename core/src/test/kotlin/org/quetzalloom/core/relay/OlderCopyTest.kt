package org.quetzalloom.core.relay

import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.reducer.Reducer
import kotlin.test.Test
import kotlin.test.assertTrue

/**
 * Routers that went on from their offsets, or read through one that did, missed what was written after the store had
 * come back from an older copy, and held an evacuation to have ended because the copy lacked it. More seeds are played
 * with `-Dseeds=N`, from `-DfirstSeed=N` on.
 */
class OlderCopyTest {
    private val seeds = System.getProperty("firstSeed", "1").toLong().let {
        it until it + System.getProperty("seeds", "3").toLong()
    }

    private fun play(
        routers: Int,
        records: Int,
        seed: Long,
        bytes: Int = 0,
        reducer: Reducer<RelayState, RelayEvent, RelayEffect> = RelayReducer,
    ): OlderCopy {
        val readers = ReaderFleet(routers, ReaderFleet.SHORT_BOUND, seed, reducer)
        readers.fleet.store.configurationBytes = bytes
        return OlderCopy(readers, seed).apply { run(lostMilliseconds(seed), records) }
    }

    private fun lostMilliseconds(seed: Long): Long = LEAST_LOST + seed % LOST_STEPS * LOST_STEP

    private fun assertInTime(records: Int) {
        val cases = listOf(6, 24).flatMap { routers -> listOf(0, LARGE_CONFIGURATION).map { routers to it } }
        val failures = cases.flatMap { (routers, bytes) ->
            seeds.mapNotNull { seed ->
                play(routers, records, seed, bytes).failureOrNull("$routers, $bytes, $seed")
            }
        }
        assertTrue(failures.isEmpty(), "routers, bytes, seed:\n${failures.joinToString("\n")}")
    }

    private fun OlderCopy.failureOrNull(name: String): String? =
        if (longestDelay <= LONGEST_DELAY && forgetful.isEmpty()) null else "$name: $description, forgetful $forgetful"

    @Test
    fun `changes are known in time after the store has come back before the offsets of the routers`() {
        assertInTime(records = 0)
    }

    @Test
    fun `changes are known in time after the store has come back and grown past the offsets of the routers`() {
        assertInTime(records = MANY_RECORDS)
    }

    private fun assertInTimeIn(play: (records: Int, seed: Long) -> OlderCopy) {
        val failures = seeds.flatMap { seed ->
            listOf(0, MANY_RECORDS).mapNotNull { play(it, seed).failureOrNull("$it, $seed") }
        }
        assertTrue(failures.isEmpty(), "records, seed:\n${failures.joinToString("\n")}")
    }

    @Test
    fun `changes are known in time though the store comes back from older copies again and again`() {
        assertInTimeIn { records, seed ->
            val readers = ReaderFleet(ROUTERS, ReaderFleet.SHORT_BOUND, seed)
            OlderCopy(readers, seed).apply { repeat(3) { run(lostMilliseconds(seed), records) } }
        }
    }

    @Test
    fun `changes are known in time though the acting reader is refused once the store has come back`() {
        assertInTimeIn { records, seed ->
            val readers = ReaderFleet(ROUTERS, ReaderFleet.SHORT_BOUND, seed)
            val reader = readers.readers.first()
            OlderCopy(readers, seed, readers.fleet.vms - reader).apply {
                onReturn = { readers.fleet.refused += reader }
                run(lostMilliseconds(seed), records)
            }
        }
    }

    @Test
    fun `changes are known in time though the acting reader does not answer once the store has come back`() {
        assertInTimeIn { records, seed ->
            val readers = ReaderFleet(ROUTERS, ReaderFleet.SHORT_BOUND, seed)
            val reader = readers.readers.first()
            OlderCopy(readers, seed, readers.fleet.vms - reader).apply {
                onReturn = { readers.fleet.pause(reader) }
                run(lostMilliseconds(seed), records)
            }
        }
    }

    /**
     * Routers of an earlier version neither know nor tell the era, and go on from their offsets. They pass on snapshots
     * as a whole, and don't ask for them while the store seems to be away.
     */
    @Test
    fun `changes are known in time though the acting reader and its standby are of an earlier version`() {
        assertInTimeIn { records, seed -> playBesideEarlierVersion(records, seed) }
    }

    private fun playBesideEarlierVersion(records: Int, seed: Long): OlderCopy {
        val earlier = ReaderFleet(ROUTERS, ReaderFleet.SHORT_BOUND, seed).readers.take(2)
        val reducer = Reducer<RelayState, RelayEvent, RelayEffect> { state, event, now ->
            if (state.settings.vm in earlier) {
                RelayReducer.reduce(state.withoutProbes().withoutChangesOf(event), event.withoutEra(), now)
            } else {
                RelayReducer.reduce(state, event, now)
            }
        }
        val readers = ReaderFleet(ROUTERS, ReaderFleet.SHORT_BOUND, seed, reducer)
        return OlderCopy(readers, seed, readers.fleet.vms - earlier.toSet())
            .apply { run(lostMilliseconds(seed), records) }
    }

    /** Returns the state in which the store does not seem to be away, as then it is asked for the newest records. */
    private fun RelayState.withoutProbes(): RelayState =
        copy(feeds = feeds.copy(store = feeds.store.copy(failures = minOf(feeds.store.failures, 1))))

    /** Returns the state that does not compare the snapshot of [event] with what is known. */
    private fun RelayState.withoutChangesOf(event: RelayEvent): RelayState {
        val snapshot = (event as? RelayEvent.FeedRead)?.takeIf { it.snapshot } ?: return this
        val isNewer = readers.buffers[snapshot.feed]?.let { snapshot.nextOffset >= it.end } ?: false
        return if (isNewer) copy(readers = readers.copy(buffers = readers.buffers.remove(snapshot.feed))) else this
    }

    private fun RelayEvent.withoutEra(): RelayEvent = when (this) {
        is RelayEvent.FeedRead -> copy(era = 0)
        is RelayEvent.FeedFailed -> copy(era = 0)
        is RelayEvent.GroupJoined -> copy(era = 0)
        is RelayEvent.FeedAsked -> copy(era = 0)
        else -> this
    }

    @Test
    fun `without the era of the store, changes are missed`() {
        val reducer = Reducer<RelayState, RelayEvent, RelayEffect> { state, event, now ->
            RelayReducer.reduce(state, event.withoutEra(), now)
        }
        for (records in listOf(0, MANY_RECORDS)) {
            val delay = play(ROUTERS, records, seed = 1, reducer = reducer).longestDelay
            assertTrue(delay > ReaderFleet.SHORT_BOUND, "$delay ms")
        }
    }

    @Test
    fun `without the memory of orders that may be lost, an evacuation ends`() {
        val reducer = Reducer<RelayState, RelayEvent, RelayEffect> { state, event, now ->
            val forgetful = state.storeEra.copy(unconfirmedZones = persistentSetOf())
            RelayReducer.reduce(state.copy(storeEra = forgetful), event, now)
        }
        assertTrue(play(ROUTERS, records = 0, seed = 1, reducer = reducer).forgetful.isNotEmpty())
    }

    private companion object {
        const val ROUTERS = 6

        /** More than are lost, so that each feed ends after the offsets that the routers know. */
        const val MANY_RECORDS = 40
        const val LONGEST_DELAY = ReaderFleet.SHORT_BOUND - ReaderFleet.MARGIN
        const val LEAST_LOST = 1_000L
        const val LOST_STEP = 1_000L
        const val LOST_STEPS = 4

        /** Longer than what routers pass on to each other. */
        const val LARGE_CONFIGURATION = 100_000
    }
}
