package org.quetzalloom.runtime

import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.time.Clock
import org.quetzalloom.core.time.Timestamp
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

/**
 * Drives a reducer on one thread: takes events from an inbox, reduces them in order and carries out their effects.
 *
 * An exception of the reducer or the interpreter ends the loop.
 *
 * Only the loop's thread changes the state. Other threads read it through [snapshot], which is immutable.
 *
 * @param initial the state before the first event.
 * @param tick the event to reduce at every tick, or `null` for none.
 */
public class EventLoop<S : Any, E : Any, F : Any>(
    initial: S,
    private val reducer: Reducer<S, E, F>,
    private val tick: E?,
    private val settings: LoopSettings,
    private val clock: Clock = SystemClock(),
) {
    private val inbox = Inbox<LoopMessage<E>>()
    private val published = AtomicReference(initial)
    private val ended = CountDownLatch(1)

    /**
     * Adds [event] to the inbox. May be called from any thread.
     *
     * @param beforeReduce a callback to run on the loop's thread immediately before the event is reduced.
     */
    public fun post(event: E, beforeReduce: (() -> Unit)? = null): Unit =
        inbox.put(LoopMessage.OfEvent(event, beforeReduce))

    /** Requests that the loop end once it has processed the events posted before. Returns immediately. */
    public fun stop(): Unit = inbox.put(LoopMessage.Stop)

    /** Returns the state after the latest reduction. */
    public fun snapshot(): S = published.get()

    /** Waits up to [milliseconds] for the loop to end. Returns whether it has ended. */
    public fun awaitEnd(milliseconds: Long): Boolean = ended.await(milliseconds, TimeUnit.MILLISECONDS)

    /** Starts the loop's thread, which passes the effects to [interpreter]. */
    public fun start(interpreter: Interpreter<F>) {
        Thread({ run(interpreter) }, settings.name).start()
    }

    private fun run(interpreter: Interpreter<F>) {
        try {
            loop(interpreter)
        } finally {
            ended.countDown()
        }
    }

    private fun loop(interpreter: Interpreter<F>) {
        var tickDueAt = clock.now()
        var running = true
        while (running) {
            running = takeMessages(tickDueAt).all { it.process(interpreter) }
            val now = clock.now()
            if (running && now >= tickDueAt) {
                tick?.let { reduce(it, interpreter) }
                tickDueAt = now + settings.tickMilliseconds
            }
        }
    }

    private fun takeMessages(until: Timestamp): List<LoopMessage<E>> =
        inbox.takeAllWithin((until - clock.now()).coerceAtLeast(0))

    /** Processes this message. Returns whether the loop continues. */
    private fun LoopMessage<E>.process(interpreter: Interpreter<F>): Boolean = when (this) {
        is LoopMessage.OfEvent -> {
            beforeReduce?.invoke()
            reduce(event, interpreter)
            true
        }
        is LoopMessage.Stop -> false
    }

    private fun reduce(event: E, interpreter: Interpreter<F>) {
        val transition = reducer.reduce(published.get(), event, clock.now())
        published.set(transition.state)
        transition.effects.forEach { interpreter.carryOut(it) }
    }
}
