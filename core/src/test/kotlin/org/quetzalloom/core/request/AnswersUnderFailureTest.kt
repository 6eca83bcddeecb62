package org.quetzalloom.core.request

import org.quetzalloom.core.rig.Fault
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.rig.Rig
import org.quetzalloom.core.rig.assertNoFindings
import org.quetzalloom.core.rig.injectWithin
import org.quetzalloom.core.rig.seeds
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.unchanged
import kotlin.test.Test
import kotlin.test.assertTrue

/** Broken, silent and restarted connections must not lose, repeat or mix up tokens of an answer. */
class AnswersUnderFailureTest {
    @Test
    fun everyAnswerIsCompleteAndCorrectOrEndsWithAnError() = seeds(SEEDS).forEach { seed ->
        val rig = load(seed)
        val wrong = rig.callers.filter { it.answered && !it.correct }.map { "${it.request} got '${it.answer}'" }
        val open = rig.callers.filter { it.pending }.map { "${it.request} was never ended" }
        val duplicated = rig.callers.filter { it.endCount > 1 }.map { "${it.request} was ended ${it.endCount} times" }
        assertNoFindings(seed, rig, wrong + open + duplicated)
        val correct = rig.callers.count { it.correct }
        assertTrue(correct >= rig.callers.size * MIN_CORRECT_PERCENT / 100, "seed $seed: only $correct were correct")
    }

    @Test
    fun withoutResumingFromThePositionAnswersAreWrong() {
        val parts = RouterReducer.parts.add(RouterReducer.parts.indexOf(RequestsPart), resettingPosition)
        val rig = Fleet.rig(seed = 1, parts = parts)
        send(rig)
        rig.schedule.after(500) { rig.servers.values.forEach { it.breakConnections() } }
        rig.runFor(SETTLE_MILLISECONDS)
        assertTrue(rig.callers.any { it.answered && !it.correct }, "without the position some answers must be wrong")
    }

    @Test
    fun aConnectionThatGoesSilentIsGivenUp() {
        val rig = Fleet.rig(seed = 1)
        val caller = rig.send(Fleet.vms[0], Fleet.completion("a long loaf of bread"))
        rig.runFor(30)
        rig.servers.values.forEach { it.silence() }
        rig.runFor(4_000)
        assertTrue(caller.correct, rig.trace.joinToString("\n"))
    }

    private fun load(seed: Long): Rig {
        val rig = Fleet.rig(seed)
        send(rig)
        val faults = listOf(Fault.BREAK_CONNECTIONS, Fault.SILENCE_CONNECTIONS, Fault.RESTART_SERVER)
        rig.injectWithin(milliseconds = 4_000, count = 6, faults = faults)
        rig.runFor(SETTLE_MILLISECONDS)
        return rig
    }

    private fun send(rig: Rig) = repeat(REQUESTS) { number ->
        rig.schedule.after(number * 20L) {
            rig.send(Fleet.vms.random(rig.random), Fleet.completion("bread $number"))
        }
    }

    private companion object {
        const val SEEDS = 60
        const val REQUESTS = 200
        const val SETTLE_MILLISECONDS = 20_000L
        const val MIN_CORRECT_PERCENT = 90

        /** Resets the number of delivered tokens once an attempt has failed, so that the retry repeats them. */
        val resettingPosition = Part { state, _, _ ->
            val active = state.requests.active.mapValues { (_, request) ->
                if (request.phase is Phase.Running || request.attemptCount == 0) {
                    request
                } else {
                    request.copy(deliveredTokens = 0)
                }
            }
            val resetRequests = active.values.fold(state.requests) { requests, request -> requests.put(request) }
            state.copy(requests = resetRequests).unchanged()
        }
    }
}
