package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.net.SocketException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** A response that was no continuation of a broken stream reached the caller in the middle of it, or ended it. */
class ResumedStreamTest {
    private val draft = "POST /draft/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"
    private val streamHead = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n"

    private fun ScriptedRequest.writeStream(events: String) {
        write("${streamHead}Transfer-Encoding: chunked\r\n\r\n")
        if (events.isNotEmpty()) writeChunk(events)
        write("0\r\n\r\n")
    }

    /** Breaks off the first stream after the event 1, and answers attempts to resume it by [resume]. */
    private fun server(resume: (ScriptedRequest) -> Unit): (ScriptedRequest) -> Unit = { request ->
        if (request.headers["last-event-id"] == null) {
            request.write("${streamHead}Transfer-Encoding: chunked\r\n\r\n")
            request.writeChunk("id: 1\ndata: one\n\n")
            Thread.sleep(BEFORE_END_MILLISECONDS)
            request.reset()
        } else {
            resume(request)
        }
    }

    private fun assertCutOffAfterFirstEvent(resume: (ScriptedRequest) -> Unit) {
        TestRelay(server(resume), server(resume)).use { relay ->
            val response = relay.exchange(draft)
            val body = response.substringAfter("\r\n\r\n")
            assertEquals(listOf("id: 1", "data: one"), body.lines().map { it.trim() }.filter { ':' in it })
            assertTrue(!response.endsWith("0\r\n\r\n"), response)
            assertTrue(relay.servers.sumOf { it.requests.size } > 1, "no server was asked to resume the stream")
        }
    }

    @Test
    fun `an error does not continue a stream`() =
        assertCutOffAfterFirstEvent { it.respond("500 Internal Server Error", mapOf("Id" to "a"), "problem: all") }

    @Test
    fun `a success that is no event stream does not continue a stream`() =
        assertCutOffAfterFirstEvent { it.respond("200 OK", mapOf("Id" to "a"), "problem: all\n\n") }

    @Test
    fun `a success without content does not end a stream`() =
        assertCutOffAfterFirstEvent { it.write("HTTP/1.1 204 No Content\r\nId: a\r\n\r\n") }

    @Test
    fun `an empty success does not end a stream`() =
        assertCutOffAfterFirstEvent { it.respond("200 OK", mapOf("Id" to "a"), "") }

    @Test
    fun `a stream that begins again does not continue a stream`() =
        assertCutOffAfterFirstEvent { it.writeStream("id: 1\ndata: other\n\nid: 2\ndata: two\n\n") }

    @Test
    fun `an event without an id does not continue a stream`() =
        assertCutOffAfterFirstEvent { it.writeStream("problem: all\n\nid: 2\ndata: two\n\n") }

    @Test
    fun `a stream that cannot be continued ends with a reset for a caller without chunked encoding`() {
        val script = server { it.respond("500 Internal Server Error", mapOf("Id" to "a"), "problem: all") }
        TestRelay(script, script).use { relay ->
            relay.connect().use { caller ->
                caller.send(draft.replace("HTTP/1.1", "HTTP/1.0")).readUntil("data: one")
                assertFailsWith<SocketException> { caller.readAll() }
            }
        }
    }

    @Test
    fun `after a response that is no continuation another server continues the stream`() {
        val resume: (ScriptedRequest) -> Unit = { request ->
            val first = request.headers["last-event-id"] == "1" && !asked
            asked = true
            if (first) {
                request.respond("200 OK", mapOf("Id" to "a"), "problem")
            } else {
                request.writeStream("id: 2\ndata: two\n\n")
            }
        }
        TestRelay(server(resume), server(resume), server(resume)).use { relay ->
            val response = relay.exchange(draft)
            assertEquals(listOf("data: one", "data: two"), response.lines().filter { it.startsWith("data:") })
            assertTrue(response.endsWith("0\r\n\r\n"), response)
        }
    }

    @Test
    fun `a stream that broke off after its last event is complete when no event follows`() {
        val script = server { it.writeStream("") }
        TestRelay(script, script).use { relay ->
            val response = relay.exchange(draft)
            assertEquals(listOf("data: one"), response.lines().filter { it.startsWith("data:") })
            assertTrue(response.endsWith("0\r\n\r\n"), response)
        }
    }

    @Volatile
    private var asked = false

    private companion object {
        const val BEFORE_END_MILLISECONDS = 50L
    }
}
