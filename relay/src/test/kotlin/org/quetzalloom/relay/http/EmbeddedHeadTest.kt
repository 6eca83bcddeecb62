package org.quetzalloom.relay.http

import io.netty.handler.codec.http.HttpHeaders
import org.quetzalloom.relay.backend.StreamEvent
import kotlin.test.Test
import kotlin.test.assertTrue
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTime

/** Bodies with many status lines stopped the event loop for seconds, as the search for heads took quadratic time. */
class EmbeddedHeadTest {
    private val named: (HttpHeaders) -> Boolean = { "Id" in it }

    @Test
    fun `an event with many status lines is searched in time`() {
        val event = "data: HTTP/1.1 200 OK\n".repeat(LINES) + "\n"
        val time = measureTime { assertTrue(StreamEvent(event).isValid(named)) }
        assertTrue(time < SHORTEST_DEADLINE, "$time")
    }

    @Test
    fun `a body with many status lines is searched in time`() {
        val detector = EmbeddedHeadDetector(named)
        val time = measureTime { repeat(PIECES) { detector.hasBegun("HTTP/1.1 200: x\n".repeat(LINES / PIECES)) } }
        assertTrue(time < SHORTEST_DEADLINE, "$time")
    }

    private companion object {
        const val LINES = 16_384
        const val PIECES = 32

        /** Other callers wait while an event is searched. */
        val SHORTEST_DEADLINE = 1.seconds
    }
}
