package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import java.util.TreeMap
import kotlin.random.Random

/**
 * A [ReaderFleet] whose store is away for a moment and comes back from a copy of some seconds before, which lacks the
 * evacuation of a zone and the newest changes. Their writers write them again. Measures the longest time for which a
 * router did not know of a change, from the time of its last write, or from when all routers are in touch again.
 *
 * @param routers the routers that are measured.
 */
internal class OlderCopy(
    private val readers: ReaderFleet,
    seed: Long,
    private val routers: List<VmId> = readers.fleet.vms,
) {
    private val fleet = readers.fleet
    private val random = Random(seed)
    private val writtenAt = TreeMap<Long, Long>()
    private val versions = mutableMapOf<VmId, Long>()
    private var inTouchAt = 0L

    /** Called when the store has come back. */
    var onReturn: () -> Unit = {}
    private var nextChangeAt = 0L
    private var evacuationKnownAt = Long.MAX_VALUE

    /** The longest time for which a router did not know of a change, in milliseconds. */
    var longestDelay = 0L
        private set

    /** The longest delay, with the router and the time since the start of the fleet. */
    var description = "none"
        private set

    /** The routers that returned to an older configuration, or forgot the evacuation or the draining server. */
    val forgetful = mutableSetOf<VmId>()

    /**
     * Plays one return of the store.
     *
     * @param lostMilliseconds for how long what was written before the outage is lost.
     * @param records how many records are written at once to each feed when the store is back: none, or so many that
     *   its feeds end after the offsets that the routers know.
     */
    fun run(lostMilliseconds: Long, records: Int) {
        pass(BEFORE)
        val copy = fleet.store.ends()
        fleet.write(Feed.ORDERS, FeedEntry.Evacuation(RelayRig.zones.last(), active = true))
        evacuationKnownAt = fleet.elapsed + ReaderFleet.SHORT_BOUND
        pass(lostMilliseconds)
        fleet.pass(SETTLING)
        fleet.store.isDown = true
        fleet.pass(random.nextLong(SHORTEST_OUTAGE, LONGEST_OUTAGE)) { checkMemory() }
        fleet.store.rewind(copy)
        fleet.store.isDown = false
        onReturn()
        inTouchAt = fleet.elapsed + CONTACT_TIME
        // Nothing else tells of this change until the next one.
        if (records > 0) write()
        repeat(records) {
            fleet.write(Feed.ORDERS, FeedEntry.Evacuation(RelayRig.zones.first(), active = false))
            fleet.write(Feed.SERVERS, FeedEntry.Server(RelayRig.plainServers.last()))
        }
        val rewrittenAt = fleet.elapsed + random.nextLong(LONGEST_UNTIL_REWRITTEN)
        fleet.pass(QUIET) {
            measure()
            if (fleet.elapsed in rewrittenAt until rewrittenAt + RelayRig.TICK) rewrite(changes = records == 0)
        }
        pass(AFTER)
        fleet.pass(ReaderFleet.SHORT_BOUND) { measure() }
    }

    private fun rewrite(changes: Boolean) {
        fleet.write(Feed.ORDERS, FeedEntry.Evacuation(RelayRig.zones.last(), active = true))
        if (changes) write()
    }

    private fun write() {
        writtenAt[readers.write()] = fleet.elapsed
    }

    private fun pass(milliseconds: Long): Unit = fleet.pass(milliseconds) {
        if (fleet.elapsed >= nextChangeAt) {
            write()
            nextChangeAt = fleet.elapsed + random.nextLong(SHORTEST_GAP, LONGEST_GAP)
        }
        measure()
    }

    private fun measure() {
        checkMemory()
        routers.forEach { vm ->
            val written = writtenAt.higherEntry(readers.knownVersion(vm))?.value ?: return@forEach
            val delay = fleet.elapsed - maxOf(written, inTouchAt)
            if (delay > longestDelay) {
                longestDelay = delay
                description = "$delay ms at $vm, ${fleet.elapsed} ms after the start"
            }
        }
    }

    private fun checkMemory() {
        routers.forEach { vm ->
            val version = readers.knownVersion(vm)
            val evacuated = fleet.states.getValue(vm).servers.evacuatedZones
            val forgotten = fleet.elapsed > evacuationKnownAt && RelayRig.zones.last() !in evacuated
            val before = versions.put(vm, version) ?: 0
            if (version < before || forgotten) forgetful += vm
        }
    }

    private companion object {
        const val BEFORE = 3_000L
        const val AFTER = 6_000L

        /** All routers know what was written before the outage. */
        const val SETTLING = 2_000L

        /** Without further changes, so that none makes up for one that a router has missed. */
        const val QUIET = 6_000L
        const val SHORTEST_OUTAGE = 200L
        const val LONGEST_OUTAGE = 1_500L
        const val LONGEST_UNTIL_REWRITTEN = 1_000L
        const val CONTACT_TIME = 3_000L
        const val SHORTEST_GAP = 300L
        const val LONGEST_GAP = 1_000L
    }
}
