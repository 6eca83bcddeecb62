package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Callers that read slowly made sound servers look silent, and left connections behind on which nothing was read. */
class SlowCallerTest {
    private val draft = "POST /draft/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"
    private val get = "GET /look/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"

    private fun largeEvent(id: Int) = "id: $id\ndata: ${"x".repeat(EVENT_BYTES)}\n\n"

    private fun ScriptedRequest.startStream() = write(
        "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=5\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n",
    )

    private fun ScriptedRequest.streamLargeEvents() {
        startStream()
        val count = requestLine.substringAfter("/draft/").substringBefore(' ').toInt()
        (1 until count).forEach { writeChunk(largeEvent(it)) }
        val last = largeEvent(count)
        write("${last.length.toString(radix = 16)}\r\n$last\r\n0\r\n\r\n")
    }

    private val serve: (ScriptedRequest) -> Unit = { request ->
        if ("/draft/" in request.requestLine) {
            request.streamLargeEvents()
        } else {
            request.respond("200 OK", mapOf("Id" to "a", "Keep-Alive" to "timeout=5"), "mine")
        }
    }

    @Test
    fun `a stream is not taken for a silent one while its caller does not read`() {
        TestRelay(serve, serve).use { relay ->
            relay.connectWithBuffer(RECEIVE_BUFFER_BYTES).use { caller ->
                caller.send(draft.replace("/draft/1", "/draft/$MOST_EVENTS"))
                Thread.sleep(LONGER_THAN_IDLE_TIMEOUT_MILLISECONDS)
                assertEquals(1, relay.servers.sumOf { it.requests.size })
            }
        }
    }

    @Test
    fun `a connection whose stream ended while its caller did not read can be used again`() {
        TestRelay(serve).use { relay ->
            // How much the system buffers is not known: one of the streams ends just when the relay pauses reading it.
            for (events in 1..MOST_EVENTS) {
                relay.connectWithBuffer(RECEIVE_BUFFER_BYTES).use { caller ->
                    caller.send(draft.replace("/draft/1", "/draft/$events"))
                    Thread.sleep(STREAM_MILLISECONDS)
                    val response = relay.exchange(get)
                    assertTrue(response.endsWith("mine"), "after $events events: $response")
                }
            }
        }
    }

    private companion object {
        const val EVENT_BYTES = 200_000

        /** More in total than the buffers of a loopback connection hold. */
        const val MOST_EVENTS = 45
        const val STREAM_MILLISECONDS = 150L
        const val RECEIVE_BUFFER_BYTES = 65_536

        /** The routes end requests after 2 s. */
        const val LONGER_THAN_IDLE_TIMEOUT_MILLISECONDS = 1_800L
    }
}
