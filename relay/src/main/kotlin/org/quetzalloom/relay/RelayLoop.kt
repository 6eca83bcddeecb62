package org.quetzalloom.relay

import io.netty.channel.EventLoop
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.time.Clock
import org.quetzalloom.runtime.Interpreter
import java.util.concurrent.TimeUnit

/**
 * Drives one reducer on the thread that selects the sockets, so that nothing is handed between threads.
 *
 * An event that is posted while another is being reduced waits until the effects of that one have been carried out.
 *
 * @param tick the event that tells of the passing of time.
 */
internal class RelayLoop<S : Any, E : Any, F : Any>(
    initial: S,
    private val reducer: Reducer<S, E, F>,
    private val tick: E,
    private val eventLoop: EventLoop,
    private val clock: Clock,
) {
    private val pending = ArrayDeque<E>()
    private var reducing = false

    /** The state after the last reduction. Only for the loop's thread. */
    var state: S = initial
        private set

    /** What carries out the effects. */
    lateinit var interpreter: Interpreter<F>

    /** Reduces [event]. Only for the loop's thread. */
    fun post(event: E) {
        pending.add(event)
        if (reducing) return
        reducing = true
        try {
            while (pending.isNotEmpty()) reduce(pending.removeFirst())
        } finally {
            reducing = false
        }
    }

    /** Posts a tick every [TICK_INTERVAL_MILLISECONDS] from now on. */
    fun startTicking() {
        eventLoop.scheduleWithFixedDelay({ post(tick) }, 0, TICK_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun reduce(event: E) {
        val transition = reducer.reduce(state, event, clock.now())
        state = transition.state
        transition.effects.forEach { interpreter.carryOut(it) }
    }

    private companion object {
        /** The precision of deadlines; the shortest that a caller sets is a tenth of a second. */
        const val TICK_INTERVAL_MILLISECONDS = 20L
    }
}
