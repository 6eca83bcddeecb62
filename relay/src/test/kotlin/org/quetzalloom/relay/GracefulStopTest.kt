package org.quetzalloom.relay

import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

/** The process ended while responses were still being written to callers that read slowly. */
class GracefulStopTest {
    @Test
    fun `the relay does not end before a slow caller has got its response`() {
        TestRelay({ it.respond("200 OK", mapOf("Id" to "a"), "x".repeat(BODY_BYTES)) }).use { relay ->
            relay.connectWithBuffer(RECEIVE_BUFFER_BYTES).use { caller ->
                caller.send("GET /look/1 HTTP/1.1\r\nHost: app\r\nId: a\r\n\r\n".repeat(REQUESTS))
                caller.readUntil("\r\n\r\n")
                Thread.sleep(RESPONSES_MILLISECONDS)
                relay.requestStop()
                val end = CompletableFuture.runAsync { relay.awaitTermination() }
                Thread.sleep(LONGER_THAN_STOP_MILLISECONDS)
                assertFalse(end.isDone, "the relay ended with a part of the response unwritten")
                val bodies = caller.readAll().split("\r\n\r\n").filter { it.startsWith("xxx") }
                assertEquals(REQUESTS, bodies.count { body -> body.count { it == 'x' } >= BODY_BYTES })
                end.get(LONGER_THAN_STOP_MILLISECONDS, TimeUnit.MILLISECONDS)
            }
        }
    }

    private companion object {
        const val BODY_BYTES = 3_000_000

        /** Their responses are more than the buffers of a loopback connection hold. */
        const val REQUESTS = 4
        const val RESPONSES_MILLISECONDS = 500L
        const val RECEIVE_BUFFER_BYTES = 16_384
        const val LONGER_THAN_STOP_MILLISECONDS = 3_500L
    }
}
