package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Callers lost their answers when a sound server was silent for longer than the timeout of an attempt. */
class SilentServerTest {
    private val draft = "POST /draft/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"

    private fun ScriptedRequest.startStream() =
        write("HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")

    @Test
    fun `a stream whose only server pauses is not cut off`() {
        TestRelay({
            it.startStream()
            it.writeChunk("id: 1\ndata: one\n\n")
            Thread.sleep(LONGER_THAN_IDLE_TIMEOUT_MILLISECONDS)
            it.writeChunk("id: 2\ndata: two\n\n")
            it.write("0\r\n\r\n")
        }).use { relay ->
            val response = relay.exchange(draft)
            assertTrue(response.endsWith("id: 2\ndata: two\n\n\r\n0\r\n\r\n"), response)
            assertEquals(1, relay.servers[0].requests.size)
        }
    }

    @Test
    fun `a request whose only server begins late is answered`() {
        TestRelay({
            Thread.sleep(LONGER_THAN_START_TIMEOUT_MILLISECONDS)
            it.respond("200 OK", mapOf("Id" to "a"), "mine")
        }).use { relay ->
            val response = relay.exchange("GET /look/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n")
            assertTrue(response.endsWith("mine"), response)
            assertEquals(1, relay.servers[0].requests.size)
        }
    }

    @Test
    fun `a stream whose server pauses continues on another server`() {
        val script: (ScriptedRequest) -> Unit = { request ->
            request.startStream()
            if (request.headers["last-event-id"] == null) {
                request.writeChunk("id: 1\ndata: one\n\n")
                request.awaitClose(milliseconds = 3_000)
            } else {
                request.writeChunk("id: 2\ndata: two\n\n")
                request.write("0\r\n\r\n")
            }
        }
        TestRelay(script, script).use { relay ->
            assertTrue(relay.exchange(draft).endsWith("id: 2\ndata: two\n\n\r\n0\r\n\r\n"))
            assertEquals(2, relay.servers.sumOf { it.requests.size })
        }
    }

    @Test
    fun `a stream whose server sends bytes, but no events, continues on another server`() {
        val script: (ScriptedRequest) -> Unit = { request ->
            request.startStream()
            if (request.headers["last-event-id"] == null) {
                request.writeChunk("id: 1\ndata: one\n\n")
                repeat(SINGLE_BYTES) {
                    Thread.sleep(SINGLE_BYTE_INTERVAL_MILLISECONDS)
                    request.writeChunk("x")
                }
            } else {
                request.writeChunk("id: 2\ndata: two\n\n")
                request.write("0\r\n\r\n")
            }
        }
        TestRelay(script, script).use { relay ->
            val response = relay.exchange(draft)
            assertTrue(response.endsWith("id: 2\ndata: two\n\n\r\n0\r\n\r\n"), response)
        }
    }

    private companion object {
        /** The routes end requests after 2 s. */
        const val SINGLE_BYTES = 20
        const val SINGLE_BYTE_INTERVAL_MILLISECONDS = 100L
        const val LONGER_THAN_IDLE_TIMEOUT_MILLISECONDS = 1_700L
        const val LONGER_THAN_START_TIMEOUT_MILLISECONDS = 900L
    }
}
