package org.quetzalloom.core.billing

import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.rig.Fault
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.rig.Rig
import org.quetzalloom.core.rig.assertNoFindings
import org.quetzalloom.core.rig.inject
import org.quetzalloom.core.rig.injectWithin
import org.quetzalloom.core.rig.seeds
import kotlin.test.Test
import kotlin.test.assertTrue

/** Each complete answer must be billed, and duplicate bills must be equal, even if VMs die while the log is down. */
class BillingUnderFailureTest {
    @Test
    fun everyCompleteAnswerIsBilledOnce() = seeds(SEEDS).forEach { seed ->
        val rig = load(seed)
        assertNoFindings(seed, rig, findings(rig))
    }

    @Test
    fun withoutACopyAtAPeerBillsAreLost() {
        val lost = seeds(SEEDS).sumOf { seed ->
            val rig = load(seed, dropsMessage = { it is PeerMessage.HoldBills })
            findings(rig).size
        }
        assertTrue(lost > 0, "without copies at peers some run must lose a bill")
    }

    private fun load(seed: Long, dropsMessage: (PeerMessage) -> Boolean = { false }): Rig {
        val rig = Fleet.rig(seed)
        rig.dropsMessage = dropsMessage
        repeat(REQUESTS) { number ->
            rig.schedule.after(number * 20L) {
                rig.up.randomOrNull(rig.random)?.let { rig.send(it, Fleet.completion("bread $number")) }
            }
        }
        rig.schedule.after(500) { rig.log.down = true }
        rig.schedule.after(500 + LOG_OUTAGE_MILLISECONDS) { rig.log.down = false }
        repeat(KILLS) {
            rig.schedule.after(500 + rig.random.nextLong(LOG_OUTAGE_MILLISECONDS)) { rig.inject(Fault.KILL_VM) }
        }
        rig.injectWithin(milliseconds = 4_000, count = 1, faults = listOf(Fault.LOSE_APPEND_ANSWERS))
        rig.runFor(SETTLE_MILLISECONDS)
        return rig
    }

    private fun findings(rig: Rig): List<String> {
        val bills = rig.log.records(LogStream.BILLS).map { (it as LogRecord.OfBill).bill }
        val byIdentity = bills.groupBy { it.identity }
        val missing = rig.callers.filter { it.correct && "request:${it.request}" !in byIdentity }
            .map { "${it.request} has no bill" }
        val unequal = byIdentity.filterValues { copies -> copies.toSet().size > 1 }
            .map { "${it.key} has unequal bills" }
        return missing + unequal
    }

    private companion object {
        const val SEEDS = 60
        const val REQUESTS = 200

        /** The number of VMs killed during an outage of the log: as many as hold copies of a bill besides its owner. */
        const val KILLS = 2
        const val LOG_OUTAGE_MILLISECONDS = 5_000L
        const val SETTLE_MILLISECONDS = 20_000L
    }
}
