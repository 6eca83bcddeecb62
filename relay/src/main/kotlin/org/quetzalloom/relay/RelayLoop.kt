package org.quetzalloom.relay

import io.netty.channel.EventLoop
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.time.Clock
import org.quetzalloom.relay.http.endProcessIfOutOfMemory
import org.quetzalloom.runtime.Interpreter
import java.util.concurrent.TimeUnit

/**
 * Runs one reducer on the thread that serves the sockets, so that events and effects never cross threads.
 *
 * An event that is posted while another is being processed is queued until the effects of that one are carried out.
 *
 * An event whose reduction throws is dropped, and the state stays as it was. An effect that cannot be carried out does
 * not keep the others from it. Neither reaches the caller of [post], whose connection may have no part in it.
 *
 * @param events the events that the loop posts itself.
 */
internal class RelayLoop<S : Any, E : Any, F : Any>(
    initial: S,
    private val reducer: Reducer<S, E, F>,
    private val events: LoopEvents<E>,
    private val eventLoop: EventLoop,
    private val clock: Clock,
) {
    private val pending = ArrayDeque<E>()
    private var reducing = false

    /** The state after the last reduction. Must be read on the event loop's thread. */
    var state: S = initial
        private set

    /** Carries out the effects. Must be set before the first [post]. */
    lateinit var interpreter: Interpreter<F>

    /** Receives what an event or an effect has thrown, as `event_failed` or `effect_failed`. Set like [interpreter]. */
    lateinit var onProblem: (name: String, cause: Throwable) -> Unit

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
        eventLoop.scheduleWithFixedDelay({ post(events.tick) }, 0, TICK_INTERVAL_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    private fun reduce(event: E) {
        events.pauseOrNull()?.let { apply(it) }
        apply(event)
    }

    private fun apply(event: E) {
        val transition = isolate("event_failed") { reducer.reduce(state, event, clock.now()) }
        if (transition == null) {
            events.failureOrNull(event)?.let { pending.addFirst(it) }
            return
        }
        state = transition.state
        transition.effects.forEach { effect -> isolate("effect_failed") { interpreter.carryOut(effect) } }
    }

    /**
     * Returns the result of [action], or `null` if it threw anything. Without memory the process ends, if it has a
     * handler of uncaught exceptions: what else has failed is not known.
     */
    private fun <T : Any> isolate(name: String, action: () -> T): T? = runCatching(action).getOrElse { problem ->
        problem.endProcessIfOutOfMemory()
        onProblem(name, problem)
        null
    }

    private companion object {
        /** The precision of deadlines. The shortest deadline that callers set is 100 ms. */
        const val TICK_INTERVAL_MILLISECONDS = 20L
    }
}
