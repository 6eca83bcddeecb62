package org.quetzalloom.core.ledger

import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.request.Phase
import org.quetzalloom.core.rig.FakeCaller
import org.quetzalloom.core.rig.Fault
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.rig.Rig
import org.quetzalloom.core.rig.assertNoFindings
import org.quetzalloom.core.rig.inject
import org.quetzalloom.core.rig.injectWithin
import org.quetzalloom.core.rig.seeds
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.unchanged
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * A call that must not be repeated runs at most once per key, however VMs, the log, peers and connections fail, and a
 * refusal that claims that the call did not run is true.
 */
class CommandsUnderFailureTest {
    @Test
    fun commandsRunAtMostOnceAndRefusalsAreTrue() = seeds(SEEDS).forEach { seed ->
        val rig = load(seed, RouterReducer.parts, Fault.ofPlatform + Fault.BREAK_CONNECTIONS)
        assertNoFindings(seed, rig, findings(rig))
    }

    /** Injects each pair of faults of the platform within 300 ms of each other, including the same fault twice. */
    @Test
    fun commandsRunAtMostOnceUnderPairsOfFailures() = Fault.ofPlatform.forEach { first ->
        Fault.ofPlatform.forEach { second ->
            val seed = (first.ordinal * Fault.entries.size + second.ordinal).toLong()
            val rig = Fleet.rig(seed)
            send(rig)
            rig.schedule.after(1_000) { rig.inject(first) }
            rig.schedule.after(1_000 + rig.random.nextLong(300)) { rig.inject(second) }
            rig.runFor(SETTLE_MILLISECONDS)
            assertNoFindings(seed, rig, findings(rig))
        }
    }

    @Test
    fun withoutWaitingForTheLogCommandsRunTwice() {
        val parts = RouterReducer.parts.add(RouterReducer.parts.indexOf(LedgerPart) + 1, ledgerWithoutLog)
        val found = seeds(SEEDS).sumOf { findings(load(it, parts, Fault.ofPlatform)).size }
        assertTrue(found > 0, "without arbitration by the log some run must fail the check")
    }

    @Test
    fun aCommandWhoseAppendAnswerIsLostRunsOnce() {
        val rig = Fleet.rig(seed = 1)
        rig.log.lostAnswers = 1
        val caller = rig.send(Fleet.vms[0], Fleet.command("k"))
        rig.runFor(2_000)
        assertTrue(caller.answered, rig.trace.joinToString("\n"))
        assertEquals(1, rig.commandRuns().values.single().size)
    }

    @Test
    fun aResendToAnotherVmIsAnsweredFromTheOutcome() {
        val rig = Fleet.rig(seed = 1)
        val first = rig.send(Fleet.vms[0], Fleet.command("k"))
        rig.runFor(1_000)
        rig.kill(Fleet.vms[0])
        val second = rig.send(Fleet.vms[1], Fleet.command("k"))
        rig.runFor(1_000)
        assertEquals(first.answer, second.answer)
        assertEquals(1, rig.commandRuns().values.single().size)
    }

    @Test
    fun duringAnOutageCommandsAreRefusedAndRunAfterIt() {
        val rig = Fleet.rig(seed = 1)
        rig.log.down = true
        val refused = rig.send(Fleet.vms[0], Fleet.command("k"))
        rig.runFor(60_000)
        assertEquals(true, refused.refusal?.notRun)
        rig.log.down = false
        rig.runFor(2_000)
        val second = rig.send(Fleet.vms[1], Fleet.command("k"))
        rig.runFor(2_000)
        assertTrue(second.answered, rig.trace.joinToString("\n"))
        assertEquals(1, rig.commandRuns().values.single().size)
    }

    private fun load(seed: Long, parts: PersistentList<Part>, faults: List<Fault>): Rig {
        val rig = Fleet.rig(seed, parts)
        send(rig)
        rig.injectWithin(milliseconds = 5_000, count = 4, faults = faults)
        rig.runFor(SETTLE_MILLISECONDS)
        return rig
    }

    /** Sends commands, every fourth one to two VMs at once, and re-sends those not answered to a random VM. */
    private fun send(rig: Rig) = repeat(COMMANDS) { number ->
        rig.schedule.after(number * 100L) {
            val first = rig.up.randomOrNull(rig.random) ?: return@after
            send(rig, first, "key-$number", resends = 2)
            if (number % 4 == 0) rig.up.lastOrNull()?.let { send(rig, it, "key-$number", resends = 0) }
        }
    }

    private fun send(rig: Rig, vm: VmId, key: String, resends: Int) {
        val caller = rig.send(vm, Fleet.command(key))
        if (resends == 0) return
        rig.schedule.after(RESEND_MILLISECONDS) {
            val next = rig.up.randomOrNull(rig.random)
            if (!caller.answered && next != null) send(rig, next, key, resends - 1)
        }
    }

    private fun findings(rig: Rig): List<String> {
        val runs = rig.commandRuns()
        val twice = runs.filterValues { it.size > 1 }.map { "${it.key} ran ${it.value.size} times" }
        val requestsRun = runs.values.flatten().map { rig.requestsByAttempt[it.order.attempt.value] }.toSet()
        val falselyRefused = rig.callers.filter { it.refusal?.notRun == true && it.request.value in requestsRun }
        val answeredNotRun = rig.callers.filter { it.answered && "bakery/${it.call.key}" !in runs }
        val wrong = rig.callers.filter { it.answered && it.answer != "ran ${it.call.body}" }
        val duplicated = rig.callers.filter { it.endCount > 1 }
        return twice + falselyRefused.describe("was refused as not run, but ran") +
            answeredNotRun.describe("was answered, but did not run") +
            wrong.describe("has a wrong answer") + duplicated.describe("was answered twice")
    }

    private fun List<FakeCaller>.describe(what: String): List<String> = map { "${it.request} ${it.call.key} $what" }

    private companion object {
        const val SEEDS = 150
        const val COMMANDS = 30
        const val RESEND_MILLISECONDS = 3_500L
        const val SETTLE_MILLISECONDS = 25_000L

        /** Treats each proposed intent as won at once, as a router without arbitration by the log would. */
        val ledgerWithoutLog = Part { state, _, now ->
            val proposed = state.requests.active.values.filter { it.phase is Phase.AwaitingIntent }
            val won = proposed.fold(state.ledger) { ledger, request ->
                val command = requireNotNull(request.command)
                val intent = LogRecord.Intent(
                    command,
                    state.settings.vm,
                    request.id,
                    request.fingerprint,
                )
                ledger.withIntent(intent, offset = 0, now = now)
            }
            state.copy(ledger = won).unchanged()
        }
    }
}
