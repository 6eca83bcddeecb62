package org.quetzalloom.bench

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.time.Timestamp
import java.lang.management.ManagementFactory

/**
 * Runs [RouterReducer], the reducer of the router in the `daemon` module, without carrying out effects and with a clock
 * that is set by hand, and measures its CPU time.
 *
 * @property state the state after the last event.
 */
internal class ReducerHarness(var state: RouterState) {
    private val threads = ManagementFactory.getThreadMXBean()

    /** The time of the next event, in milliseconds since the epoch. */
    var now: Long = START_MILLISECONDS

    /** Reduces [event] and returns the effects. */
    fun reduce(event: Event): List<Effect> {
        val transition = RouterReducer.reduce(state, event, Timestamp(now))
        state = transition.state
        return transition.effects
    }

    /**
     * Returns the mean CPU time of one run of [action] on this thread, in nanoseconds.
     *
     * Measures [runs] runs, after as many that are not measured and warm up the JVM. The argument of [action] is the
     * number of the run, which goes on counting from the warm-up.
     */
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
