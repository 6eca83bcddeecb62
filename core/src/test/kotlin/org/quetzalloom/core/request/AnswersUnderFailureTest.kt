package org.quetzalloom.core.request

import org.quetzalloom.core.rig.Fault
import org.quetzalloom.core.rig.Fleet
import org.quetzalloom.core.rig.Rig
import org.quetzalloom.core.rig.inflictWithin
import org.quetzalloom.core.rig.requireNone
import org.quetzalloom.core.rig.seeds
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.unchanged
import kotlin.test.Test
import kotlin.test.assertTrue

/** Broken, silent and restarted connections must not lose, repeat or mix up tokens of an answer. */
class AnswersUnderFailureTest {
    @Test
    fun everyAnswerIsWholeAndItsOwnOrEndsWithAnError() = seeds(SEEDS).forEach { seed ->
        val rig = load(seed)
        val wrong = rig.callers.filter { it.answered && !it.whole }.map { "${it.request} got '${it.answer}'" }
        val open = rig.callers.filter { it.pending }.map { "${it.request} was never ended" }
        val doubled = rig.callers.filter { it.ends > 1 }.map { "${it.request} was ended ${it.ends} times" }
        requireNone(seed, rig, wrong + open + doubled)
        val whole = rig.callers.count { it.whole }
        assertTrue(whole >= rig.callers.size * LEAST_WHOLE_PERCENT / 100, "seed $seed: only $whole were whole")
    }

    @Test
    fun withoutResumingFromThePositionAnswersAreWrong() {
        val parts = RouterReducer.parts.add(RouterReducer.parts.indexOf(RequestsPart), forgetfulPosition)
        val rig = Fleet.rig(seed = 1, parts = parts)
        send(rig)
        rig.schedule.after(500) { rig.servers.values.forEach { it.breakConnections() } }
        rig.runFor(SETTLE_MILLISECONDS)
        assertTrue(rig.callers.any { it.answered && !it.whole }, "without the position some answers must be wrong")
    }

    @Test
    fun aConnectionThatGoesSilentIsGivenUp() {
        val rig = Fleet.rig(seed = 1)
        val caller = rig.send(Fleet.vms[0], Fleet.completion("a long loaf of bread"))
        rig.runFor(30)
        rig.servers.values.forEach { it.silence() }
        rig.runFor(4_000)
        assertTrue(caller.whole, rig.trace.joinToString("\n"))
    }

    private fun load(seed: Long): Rig {
        val rig = Fleet.rig(seed)
        send(rig)
        val faults = listOf(Fault.BREAK_CONNECTIONS, Fault.SILENCE_CONNECTIONS, Fault.RESTART_SERVER)
        rig.inflictWithin(milliseconds = 4_000, count = 6, faults = faults)
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
        const val LEAST_WHOLE_PERCENT = 90

        /** Resets the number of delivered tokens once an attempt has failed, so that the retry repeats them. */
        val forgetfulPosition = Part { state, _, _ ->
            val active = state.requests.active.mapValues { (_, request) ->
                if (request.phase is Phase.Running || request.attemptCount == 0) {
                    request
                } else {
                    request.copy(deliveredTokens = 0)
                }
            }
            val forgotten = active.values.fold(state.requests) { requests, request -> requests.put(request) }
            state.copy(requests = forgotten).unchanged()
        }
    }
}
