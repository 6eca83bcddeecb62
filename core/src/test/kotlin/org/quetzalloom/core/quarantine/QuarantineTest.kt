package org.quetzalloom.core.quarantine

import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.rig.FakeServer
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.rig.Rig
import org.quetzalloom.core.rig.assertNoFindings
import org.quetzalloom.core.rig.seeds
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.unchanged
import kotlin.test.Test
import kotlin.test.assertTrue

/** A request that crashes every backend server that runs it must be stopped after two crashes, wherever it is sent. */
class QuarantineTest {
    @Test
    fun aRequestThatCrashesServersTakesDownTwoAtMost() = seeds(SEEDS).forEach { seed ->
        val rig = load(seed, RouterReducer.parts)
        assertNoFindings(seed, rig, findings(rig))
        val last = rig.callers.last { FakeServer.CRASH_MARK in it.call.body }
        assertTrue(last.refusal == ErrorKind.QUARANTINED, "seed $seed: the last send was ${last.refusal}")
    }

    @Test
    fun withoutSharedSuspicionItTakesDownMore() {
        val parts = RouterReducer.parts.add(
            0,
            Part { state, _, _ ->
                state.copy(quarantine = QuarantineState()).unchanged()
            }
        )
        val found = seeds(SEEDS).sumOf { findings(load(it, parts)).size }
        assertTrue(found > 0, "without shared suspicions some run must fail the check")
    }

    private fun load(seed: Long, parts: PersistentList<Part>): Rig {
        val rig = Fleet.rig(seed, parts)
        repeat(REQUESTS) { number ->
            rig.schedule.after(
                number * 20L
            ) { rig.send(Fleet.vms.random(rig.random), Fleet.completion("bread $number")) }
        }
        rig.schedule.after(500) { sendCrashing(rig, Fleet.vms.random(rig.random), left = 5) }
        rig.runFor(20_000)
        return rig
    }

    /** Sends the request that crashes servers, then sends it again every 2 s, each time to a random VM. */
    private fun sendCrashing(rig: Rig, vm: VmId, left: Int) {
        rig.send(vm, Fleet.completion("${FakeServer.CRASH_MARK} a bread with many tokens"))
        if (left > 0) rig.schedule.after(2_000) { sendCrashing(rig, Fleet.vms.random(rig.random), left - 1) }
    }

    private fun findings(rig: Rig): List<String> {
        val crashes = rig.servers.values.sumOf { it.crashes }
        val innocent = rig.callers.filter { FakeServer.CRASH_MARK !in it.call.body && !it.correct }
            .map { "innocent request ${it.request} got ${it.refusal}" }
        return innocent + if (crashes > 2) listOf("$crashes servers went down") else emptyList()
    }

    private companion object {
        const val SEEDS = 40
        const val REQUESTS = 300
    }
}
