package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Streams that had been broken off inside an event looked complete to callers, with the part of that event. */
class StreamWithoutLengthTest {
    private val draft = "POST /draft/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"
    private val head = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n"

    /** Breaks off the first stream after [begin], by [end], and completes one that resumes after the event 1. */
    private fun server(begin: String, end: (ScriptedRequest) -> Unit): (ScriptedRequest) -> Unit = { request ->
        val resumed = request.headers["last-event-id"] != null
        request.write("$head\r\n" + if (resumed) "id: 2\ndata: two\n\n" else begin)
        Thread.sleep(BEFORE_END_MILLISECONDS)
        if (resumed) request.close() else end(request)
    }

    private fun events(response: String) = response.lineSequence().filter { it.startsWith("data:") }.toList()

    private fun assertResumed(script: (ScriptedRequest) -> Unit) {
        TestRelay(script, script).use { relay ->
            val response = relay.exchange(draft)
            assertEquals(listOf("data: one", "data: two"), events(response))
            assertTrue(response.endsWith("0\r\n\r\n"), response)
            assertEquals(2, relay.servers.sumOf { it.requests.size })
        }
    }

    @Test
    fun `a stream whose connection ends inside an event resumes on another server`() =
        assertResumed(server("id: 1\ndata: one\n\nid: 2\ndata: t") { it.close() })

    @Test
    fun `a stream whose connection ends after the last line of an event resumes on another server`() =
        assertResumed(server("id: 1\ndata: one\n\nid: 2\ndata: two\n") { it.close() })

    @Test
    fun `a stream whose connection is reset after an event resumes on another server`() =
        assertResumed(server("id: 1\ndata: one\n\n") { it.reset() })

    @Test
    fun `a stream in chunks that ends inside an event resumes on another server`() {
        val script: (ScriptedRequest) -> Unit = { request ->
            request.write("${head}Transfer-Encoding: chunked\r\n\r\n")
            if (request.headers["last-event-id"] == null) {
                request.writeChunk("id: 1\ndata: one\n\nid: 2\nda")
            } else {
                request.writeChunk("id: 2\ndata: two\n\n")
            }
            request.write("0\r\n\r\n")
        }
        assertResumed(script)
    }

    @Test
    fun `a stream that is not resumable and ends inside an event does not look complete`() {
        TestRelay(server("id: 1\ndata: one\n\nid: 2\ndata: t") { it.close() }).use { relay ->
            val response = relay.exchange(draft.replace("/draft/", "/note/"))
            assertEquals(listOf("data: one"), events(response))
            assertTrue(!response.endsWith("0\r\n\r\n"), response)
        }
    }

    @Test
    fun `a stream whose connection ends after an event is complete`() {
        TestRelay(server("id: 1\ndata: one\n\nid: 2\ndata: two\n\n") { it.close() }).use { relay ->
            val response = relay.exchange(draft)
            assertEquals(listOf("data: one", "data: two"), events(response))
            assertTrue(response.endsWith("0\r\n\r\n"), response)
            assertEquals(1, relay.servers[0].requests.size)
        }
    }

    private companion object {
        const val BEFORE_END_MILLISECONDS = 50L
    }
}
