package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.net.SocketException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** The process ended while requests were in progress, or while responses were being written to slow callers. */
class GracefulStopTest {
    private fun TestRelay.awaitTerminationInTime() {
        val end = CompletableFuture.runAsync { awaitTermination() }
        end.get(LONGER_THAN_STOP_MILLISECONDS, TimeUnit.MILLISECONDS)
    }

    @Test
    fun `requests in progress at the end of the grace time are answered before the relay ends`() {
        TestRelay({ it.awaitClose(milliseconds = 5_000) }, graceMilliseconds = 1_000).use { relay ->
            relay.connect().use { caller ->
                caller.send("GET /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\n\r\n".repeat(2))
                Thread.sleep(RESPONSES_MILLISECONDS)
                relay.requestStop()
                relay.awaitTerminationInTime()
                val statuses = Regex("HTTP/1.1 \\d+").findAll(caller.readAll()).map { it.value }.toList()
                // The second has not been sent, as it waited for the answer to the first.
                assertEquals(listOf("HTTP/1.1 504", "HTTP/1.1 503"), statuses)
            }
        }
    }

    @Test
    fun `a request whose body is arriving when nothing else is in progress is answered before the relay ends`() {
        TestRelay({ it.respond("200 OK", mapOf("Id" to "a"), "mine") }).use { relay ->
            relay.connect().use { caller ->
                caller.send("POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nContent-Length: 2\r\n\r\n1")
                Thread.sleep(RESPONSES_MILLISECONDS)
                relay.requestStop()
                Thread.sleep(LONGER_THAN_STOP_MILLISECONDS)
                caller.send("2")
                relay.awaitTerminationInTime()
                assertTrue(caller.readAll().startsWith("HTTP/1.1 503 "))
            }
        }
    }

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

    @Test
    fun `a request that is sent right after a stream during which the stop began is answered or reset`() {
        val stream: (ScriptedRequest) -> Unit = {
            it.write(
                "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            it.writeChunk("id: 1\ndata: x\n\n")
            Thread.sleep(RESPONSES_MILLISECONDS)
            it.write("0\r\n\r\n")
        }
        TestRelay(stream).use { relay ->
            relay.connect().use { caller ->
                val request = "POST /draft/1 HTTP/1.1\r\nHost: app\r\nId: a\r\n\r\n"
                caller.send(request).readUntil("data: x")
                relay.requestStop()
                caller.readUntil("\r\n0\r\n\r\n")
                val answered = runCatching { "HTTP/1.1 200" in caller.send(request).readAll() }.getOrDefault(false)
                if (!answered) assertFailsWith<SocketException> { repeat(2) { caller.sendSlowly(request) } }
            }
        }
    }

    private fun TestRelay.CallerSocket.sendSlowly(text: String) {
        send(text)
        Thread.sleep(RESPONSES_MILLISECONDS / 5)
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
