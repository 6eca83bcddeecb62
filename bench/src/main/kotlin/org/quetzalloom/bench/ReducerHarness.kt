package org.quetzalloom.bench

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.time.Timestamp
import java.lang.management.ManagementFactory

/** Drives the reducer from one state to the next, and measures the processor time that this takes. */
internal class ReducerHarness(var state: RouterState) {
    private val threads = ManagementFactory.getThreadMXBean()

    /** The current time, in milliseconds. */
    var now: Long = START_MILLISECONDS

    /** Reduces [event] and returns the effects. */
    fun reduce(event: Event): List<Effect> {
        val transition = RouterReducer.reduce(state, event, Timestamp(now))
        state = transition.state
        return transition.effects
    }

    /** Returns the processor time of one run of [action] in nanoseconds, on average over [runs] after a warm-up. */
    fun averageCpuNanoseconds(runs: Int, action: (Int) -> Unit): Long {
        repeat(runs) { action(it) }
        val before = threads.currentThreadCpuTime
        repeat(runs) { action(runs + it) }
        return (threads.currentThreadCpuTime - before) / runs
    }

    private companion object {
        const val START_MILLISECONDS = 1_000_000L
    }
}
