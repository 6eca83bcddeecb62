package org.quetzalloom.relay

import io.netty.channel.EventLoop
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.time.Clock
import org.quetzalloom.runtime.Interpreter
import java.util.concurrent.TimeUnit

/**
 * Runs one reducer on the thread that serves the sockets, so that events and effects never cross threads.
 *
 * An event that is posted while another is being processed is queued until the effects of that one are carried out.
 *
 * @param tick the event that is posted at a fixed interval, for everything that depends on time.
 * @param pauseEventOrNull returns the event to reduce before any other if there was a pause since the last call that
 *   [clock] may not have counted; `null` if there was none.
 */
internal class RelayLoop<S : Any, E : Any, F : Any>(
    initial: S,
    private val reducer: Reducer<S, E, F>,
    private val tick: E,
    private val eventLoop: EventLoop,
    private val clock: Clock,
    private val pauseEventOrNull: () -> E?,
) {
    private val pending = ArrayDeque<E>()
    private var reducing = false

    /** The state after the last reduction. Must be read on the event loop's thread. */
    var state: S = initial
        private set

    /** Carries out the effects. Must be set before the first [post]. */
    lateinit var interpreter: Interpreter<F>

    /** Reduces [event] and carries out its effects. Must be called on the event loop's thread. */
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

    /** Starts to post a tick every [TICK_INTERVAL_MILLISECONDS], the first one at once. */
    fun startTicking() {
        eventLoop.scheduleWithFixedDelay({ post(tick) }, 0, TICK_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun reduce(event: E) {
        pauseEventOrNull()?.let { apply(it) }
        apply(event)
    }

    private fun apply(event: E) {
        val transition = reducer.reduce(state, event, clock.now())
        state = transition.state
        transition.effects.forEach { interpreter.carryOut(it) }
    }

    private companion object {
        /** The precision of deadlines. The shortest deadline that callers set is 100 ms. */
        const val TICK_INTERVAL_MILLISECONDS = 20L
    }
}
