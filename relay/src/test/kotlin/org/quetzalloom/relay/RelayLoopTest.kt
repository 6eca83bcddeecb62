package org.quetzalloom.relay

import io.netty.channel.DefaultEventLoop
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.runtime.Interpreter
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests that an event or effect that fails concerns no other. */
class RelayLoopTest {
    private val problems = CopyOnWriteArrayList<String>()
    private val carriedOut = CopyOnWriteArrayList<String>()

    /**
     * Each event has two effects; those that begin with "bad" fail, and so do events that begin with "odd". No memory
     * is left for events that begin with "large".
     */
    private val reducer = Reducer<Int, String, String> { state, event, _ ->
        if (event.startsWith("large")) throw OutOfMemoryError(event)
        check(!event.startsWith("odd")) { event }
        Transition(state + 1, persistentListOf("bad-$event", "good-$event"))
    }

    private fun loop(eventLoop: DefaultEventLoop, tick: String = "odd-tick") = RelayLoop(
        initial = 0,
        reducer = reducer,
        events = object : LoopEvents<String> {
            override val tick = tick

            override fun pauseOrNull(): String? = null

            override fun failureOrNull(event: String): String? = TICK_FAILED.takeIf { event == tick }
        },
        eventLoop = eventLoop,
        clock = { Timestamp.EPOCH },
    ).apply {
        onProblem = { name, cause -> problems += "$name ${cause.message}" }
        interpreter = Interpreter { effect ->
            check(!effect.startsWith("bad")) { effect }
            carriedOut += effect
        }
    }

    /** The other effects were lost, and the exception went to whoever had posted the event. */
    @Test
    fun `an effect that fails does not keep the others from being carried out`() {
        val loop = loop(DefaultEventLoop())
        loop.post("a")
        loop.post("odd")
        loop.post("b")
        assertEquals(listOf("good-a", "good-b"), carriedOut)
        assertEquals(listOf("effect_failed bad-a", "event_failed odd", "effect_failed bad-b"), problems)
        assertEquals(2, loop.state)
    }

    /** The ticks ended, and with them all timeouts and reads of the store. */
    @Test
    fun `a tick that fails is followed by others`() = assertFollowedByOthers("odd-tick")

    /** In a process without a handler that ends it, the ticks ended, and it went on without any timeout. */
    @Test
    fun `a tick that runs out of memory is followed by others`() = assertFollowedByOthers("large-tick")

    /** The process went on without what the failed allocation was for. Its handler of uncaught exceptions ends it. */
    @Test
    fun `an event that runs out of memory goes to the handler that ends the process`() {
        val previous = Thread.getDefaultUncaughtExceptionHandler()
        val errors = CopyOnWriteArrayList<Throwable>()
        Thread.setDefaultUncaughtExceptionHandler { _, error -> errors += error }
        try {
            loop(DefaultEventLoop()).post("odd")
            assertEquals(emptyList(), errors.toList())
            loop(DefaultEventLoop()).post("large")
            assertEquals(listOf("large"), errors.map { it.message })
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(previous)
        }
    }

    /** Nothing came of the failure of each tick but lines in the log. */
    @Test
    fun `a tick that fails is followed by an event that says so, and no other event is`() {
        val eventLoop = DefaultEventLoop()
        val loop = loop(eventLoop)
        loop.post("odd")
        assertEquals(emptyList(), carriedOut)
        loop.post("odd-tick")
        assertEquals(listOf("good-$TICK_FAILED"), carriedOut)
        assertEquals(1, loop.state)
    }

    private fun assertFollowedByOthers(tick: String) {
        val eventLoop = DefaultEventLoop()
        val failures = CountDownLatch(3)
        val loop = loop(eventLoop, tick)
        eventLoop.execute { loop.startTicking() }
        eventLoop.scheduleAtFixedRate(
            { if (problems.count { it == "event_failed $tick" } >= 3) repeat(3) { failures.countDown() } },
            0,
            5,
            TimeUnit.MILLISECONDS,
        )
        assertTrue(failures.await(5, TimeUnit.SECONDS), "$problems")
        eventLoop.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    private companion object {
        const val TICK_FAILED = "tick-failed"
    }
}
