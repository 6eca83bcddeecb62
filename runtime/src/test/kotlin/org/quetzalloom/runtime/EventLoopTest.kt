package org.quetzalloom.runtime

import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Drives a reducer that adds events up and emits each sum as an effect. */
class EventLoopTest {
    private val sum =
        Reducer<Int, Int, Int> { state, event, _ -> Transition(state + event, persistentListOf(state + event)) }

    private fun loop(tick: Int? = null): EventLoop<Int, Int, Int> =
        EventLoop(
            initial = 0,
            reducer = sum,
            tick = tick,
            settings = LoopSettings(name = "test-loop", tickMilliseconds = 1)
        )

    @Test
    fun eventsOfManyThreadsAreReducedOneByOne() {
        val loop = loop()
        val received = CountDownLatch(THREADS * EVENTS)
        loop.start { received.countDown() }
        val threads = (1..THREADS).map { Thread { repeat(EVENTS) { loop.post(1) } } }
        threads.forEach { it.start() }
        assertTrue(received.await(60, TimeUnit.SECONDS))
        loop.stop()
        assertTrue(loop.awaitEnd(60_000))
        assertEquals(THREADS * EVENTS, loop.snapshot())
    }

    @Test
    fun effectsAndCallbacksRunOnTheLoopThread() {
        val loop = loop()
        val threads = AtomicReference(emptyList<String>())
        val effectReceived = CountDownLatch(1)
        fun recordThread() = threads.updateAndGet { it + Thread.currentThread().name }
        loop.start {
            recordThread()
            effectReceived.countDown()
        }
        loop.post(1) { recordThread() }
        assertTrue(effectReceived.await(60, TimeUnit.SECONDS))
        loop.stop()
        assertEquals(listOf("test-loop", "test-loop"), threads.get())
    }

    @Test
    fun ticksComeWithoutEvents() {
        val loop = loop(tick = 1)
        val ticks = CountDownLatch(3)
        loop.start { ticks.countDown() }
        assertTrue(ticks.await(60, TimeUnit.SECONDS))
        loop.stop()
    }

    private companion object {
        const val THREADS = 4
        const val EVENTS = 1_000
    }
}
