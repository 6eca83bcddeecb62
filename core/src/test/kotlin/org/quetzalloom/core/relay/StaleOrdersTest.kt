package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.VmId
import kotlin.test.Test
import kotlin.test.assertTrue

/** A router that was cut off from the store follows configurations again that are too large to be passed on. */
class StaleOrdersTest {
    private fun largeConfigurations(seed: Long): ReaderFleet =
        ReaderFleet(routers = 6, bound = ReaderFleet.SHORT_BOUND, seed = seed).apply {
            fleet.store.configurationBytes = LARGE_CONFIGURATION
        }

    /** Cuts [vms] off from the store, and from the routers for which [isCutFrom] holds, for [CUT]. */
    private fun ReaderFleet.cut(vms: List<VmId>, isCutFrom: (VmId) -> Boolean) {
        val others = fleet.vms.filter { it !in vms && isCutFrom(it) }
        val links = vms.flatMap { vm -> others.flatMap { listOf(vm to it, it to vm) } }
        fleet.store.silentTo += vms
        fleet.cutLinks += links
        fleet.pass(CUT)
        fleet.store.silentTo -= vms.toSet()
        fleet.cutLinks -= links.toSet()
    }

    private fun worstTimes(isCutFrom: (VmId) -> Boolean): List<Long> = (1L..SEEDS).map { seed ->
        val readers = largeConfigurations(seed)
        readers.fleet.pass(seed * PHASE)
        readers.cut(readers.readers.take(2), isCutFrom)
        readers.fleet.pass(CONTACT - ReaderFleet.SHORT_BOUND)
        maxOf(readers.timeToSpread(), readers.timeToSpread())
    }

    @Test
    fun `a router that was cut off from the store knows a large configuration in time`() {
        val times = worstTimes { false }
        assertTrue(times.all { it <= ReaderFleet.SHORT_BOUND }, "$times")
    }

    @Test
    fun `a router that was cut off from the store and from most routers knows a large configuration in time`() {
        val times = worstTimes { it.value > "vm-002" }
        assertTrue(times.all { it <= ReaderFleet.SHORT_BOUND }, "$times")
    }

    /** The other routers reach the store, and must not wait until these two reach it through others. */
    @Test
    fun `a large configuration is known in time when the reader and its standby are cut off`() {
        val times = (1L..SEEDS).map { seed ->
            val readers = largeConfigurations(seed)
            readers.fleet.pass(seed * PHASE)
            val cutOff = readers.readers.take(2)
            readers.fleet.store.silentTo += cutOff
            readers.timeToSpread(readers.fleet.vms - cutOff.toSet())
        }
        assertTrue(times.all { it <= ReaderFleet.SHORT_BOUND - ReaderFleet.MARGIN }, "$times")
    }

    private companion object {
        const val SEEDS = 24L

        /** Longer than what routers pass on to each other. */
        const val LARGE_CONFIGURATION = 100_000

        /** How long a router is cut off, and how long it has been reachable again once all bounds hold for it. */
        const val CUT = 4_000L
        const val CONTACT = 3_000L
        const val PHASE = 130L
    }
}
