package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.feed.Feed
import java.util.TreeMap
import kotlin.random.Random

/**
 * Faults that follow each other and overlap in a [ReaderFleet], beside changes. Measures the longest time for which a
 * router in touch did not know of a change, and by how much the ages that routers claim are too young.
 *
 * @param kinds the kinds of faults, of which each fault has one at random.
 * @param holdsReads whether the store holds reads again and again, and drops its history after each time.
 */
internal class FaultSeries(
    private val readers: ReaderFleet,
    private val kinds: List<FaultKind>,
    seed: Long,
    private val holdsReads: Boolean = false,
) {
    private class Fault(val kind: FaultKind, val routers: Set<VmId>, val until: Long)

    private val fleet = readers.fleet
    private val random = Random(seed)
    private val writtenAt = TreeMap<Long, Long>()
    private val disturbedAt = mutableMapOf<VmId, Long>()
    private var faults = emptyList<Fault>()
    private var nextFaultAt = 0L
    private var nextChangeAt = 0L
    private var nextHoldChangeAt = 0L

    /** The longest time for which a router in touch did not know of a change, in milliseconds. */
    var longestDelay = 0L
        private set

    /** The longest delay, with the router and the time since the start of the fleet. */
    var description = "none"
        private set

    /**
     * The longest time by which the records of a router were older than it claimed, in milliseconds: it did not know of
     * a change that had been made before the time of which its records told the state.
     */
    var longestUnderstatement = 0L
        private set

    /** The longest understatement, with the router, the feed and the time since the start of the fleet. */
    var understatement = "none"
        private set

    /** Called with a description of each fault when it begins. */
    var onFault: (String) -> Unit = {}

    /** Runs the series for [milliseconds], and returns the longest delay. */
    fun run(milliseconds: Long): Long {
        fleet.pass(milliseconds) {
            changeFaults()
            if (holdsReads) changeHold()
            if (fleet.elapsed >= nextChangeAt) {
                writtenAt[readers.write()] = fleet.elapsed
                nextChangeAt = fleet.elapsed + random.nextLong(SHORTEST_GAP, LONGEST_GAP)
            }
            fleet.vms.forEach {
                measure(it)
                checkAges(it)
            }
        }
        return longestDelay
    }

    private fun changeHold() {
        if (fleet.elapsed < nextHoldChangeAt) return
        fleet.store.holdsReads = !fleet.store.holdsReads
        val holds = fleet.store.holdsReads
        val duration = if (holds) random.nextLong(SHORTEST_HOLD, LONGEST_HOLD) else random.nextLong(LONGEST_HOLD_PAUSE)
        nextHoldChangeAt = fleet.elapsed + duration
        onFault("the store ${if (holds) "holds reads" else "drops its history"} until $nextHoldChangeAt")
    }

    private fun changeFaults() {
        val lasting = faults.filter { it.until > fleet.elapsed }
        val next = if (fleet.elapsed >= nextFaultAt) begin(lasting) else lasting
        if (next != faults) apply(next)
        faults.filter { it.kind.disturbs }.flatMap { it.routers }.forEach { disturbedAt[it] = fleet.elapsed }
    }

    private fun begin(lasting: List<Fault>): List<Fault> {
        nextFaultAt = fleet.elapsed + random.nextLong(LONGEST_PAUSE)
        val affected = lasting.flatMap { it.routers }.toSet()
        val room = fleet.vms.size * MAXIMUM_PERCENT / PERCENT - affected.size
        val candidates = affected + (fleet.vms - affected).shuffled(random).take(room)
        val routers = candidates.shuffled(random).take(random.nextInt(candidates.size) + 1).toSet()
        val until = fleet.elapsed + random.nextLong(SHORTEST_FAULT, LONGEST_FAULT)
        val fault = Fault(kinds.random(random), routers, until)
        onFault("${fault.kind} of ${routers.sorted()} until $until")
        if (fault.kind == FaultKind.RESTARTED) routers.forEach { fleet.restart(it) }
        return lasting + fault
    }

    private fun apply(next: List<Fault>) {
        faults = next
        fleet.cutLinks.clear()
        fleet.cutLinks += next.flatMap { it.kind.cutLinks(it.routers, fleet.vms.toSet() - it.routers) }
        fleet.store.silentTo.replace(FaultKind.CUT_FROM_STORE, FaultKind.CUT_FROM_ALL)
        fleet.refused.replace(FaultKind.REFUSED_BY_STORE)
        fleet.paused.replace(FaultKind.PAUSED)
        val late = next.filter { it.kind == FaultKind.ANSWERED_LATE }.flatMap { it.routers }.toSet()
        fleet.store.lateness = { if (it in late) random.nextLong(LEAST_LATENESS, MOST_LATENESS) else 0 }
    }

    private fun MutableSet<VmId>.replace(vararg kinds: FaultKind) {
        clear()
        this += faults.filter { it.kind in kinds }.flatMap { it.routers }
    }

    private fun measure(vm: VmId) {
        if (disturbedAt[vm]?.let { fleet.elapsed - it < CONTACT_TIME } ?: false) return
        val delay = writtenAt.higherEntry(readers.knownVersion(vm))?.let { fleet.elapsed - it.value } ?: 0
        if (delay <= longestDelay) return
        longestDelay = delay
        description = "$delay ms at $vm, ${fleet.elapsed} ms after the start"
    }

    private fun checkAges(vm: VmId) {
        val known = mapOf(
            Feed.ORDERS to readers.knownConfiguration(vm),
            Feed.SERVERS to readers.knownServer(vm),
        )
        known.forEach { (feed, version) ->
            val claimed = fleet.states.getValue(vm).feedAge(feed, fleet.now)
            val unknownSince = writtenAt.higherEntry(version)?.value
            if (claimed == null || unknownSince == null) return@forEach
            val understated = fleet.elapsed - unknownSince - claimed
            if (understated <= longestUnderstatement) return@forEach
            longestUnderstatement = understated
            understatement = "$understated ms at $vm, $feed, ${fleet.elapsed} ms after the start"
        }
    }

    private companion object {
        /** The time after the end of a disturbance from which a router is in touch. */
        const val CONTACT_TIME = 3_000L

        const val MAXIMUM_PERCENT = 35
        const val PERCENT = 100
        const val SHORTEST_FAULT = 800L
        const val LONGEST_FAULT = 5_000L
        const val LONGEST_PAUSE = 2_000L
        const val SHORTEST_GAP = 300L
        const val LONGEST_GAP = 2_500L
        const val SHORTEST_HOLD = 900L
        const val LONGEST_HOLD = 1_500L
        const val LONGEST_HOLD_PAUSE = 3_000L
        const val LEAST_LATENESS = 50L
        const val MOST_LATENESS = 850L
    }
}
