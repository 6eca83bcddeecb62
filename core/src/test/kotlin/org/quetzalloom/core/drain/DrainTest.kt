package org.quetzalloom.core.drain

import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.rig.assertNoFindings
import org.quetzalloom.core.rig.seeds
import org.quetzalloom.core.router.status
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A graceful shutdown under load must finish and bill each request that was accepted, even if the log goes down. */
class DrainTest {
    @Test
    fun aGracefulStopCutsNoRequest() = seeds(SEEDS).forEach { seed ->
        val rig = Fleet.rig(seed)
        val leaving = Fleet.vms[0]
        repeat(REQUESTS) { number ->
            rig.schedule.after(number * 10L) {
                val call = if (number % 3 == 0) Fleet.command("k$number") else Fleet.completion("bread $number")
                if (leaving in rig.up) rig.send(leaving, call)
            }
        }
        if (seed % 2 == 0L) {
            rig.schedule.after(900) { rig.log.down = true }
            rig.schedule.after(2_500) { rig.log.down = false }
        }
        rig.schedule.after(1_000) { rig.shutDown(leaving) }
        rig.runFor(15_000)
        val cut = rig.callers.filter { it.pending }.map { "${it.request} was cut" }
        val falselyRefused = rig.callers.filter { it.refusal?.notRun == false }
            .map { "${it.request} was ${it.refusal}" }
        val billed = rig.log.records(LogStream.BILLS).map { (it as LogRecord.OfBill).bill.identity }.toSet()
        val unbilled = rig.callers.filter { it.answered }
            .filter { it.call.key == null && "request:${it.request}" !in billed }
            .map { "${it.request} was not billed" }
        assertNoFindings(seed, rig, cut + falselyRefused + unbilled)
        assertTrue(leaving !in rig.up, "the VM must stop")
    }

    @Test
    fun readinessTurnsOffFirst() {
        val rig = Fleet.rig(seed = 1)
        rig.shutDown(Fleet.vms[0])
        assertEquals(false, rig.state(Fleet.vms[0]).status(rig.schedule.timestamp).ready)
        val caller = rig.send(Fleet.vms[0], Fleet.completion("bread"))
        rig.runFor(3_000)
        assertTrue(caller.correct, "requests that the load balancer still sends must be accepted for a while")
    }

    private companion object {
        const val SEEDS = 20
        const val REQUESTS = 140
    }
}
