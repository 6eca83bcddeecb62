package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Callers took the body of the answer to a HEAD request for the answer to their next request. */
class HeadRequestsTest {
    private val script: (ScriptedRequest) -> Unit = { request ->
        if (request.requestLine.startsWith("HEAD")) {
            request.write("HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\nContent-Length: 9\r\n\r\n")
        } else {
            request.respond("200 OK", mapOf("Id" to "b"), "mine")
        }
    }

    /** Sends a HEAD request for [path] and then another request. Returns the first lines of both answers. */
    private fun answers(path: String): List<String> = TestRelay(script).use { relay ->
        val head = "HEAD $path HTTP/1.1\r\nHost: app\r\nId: a\r\n\r\n"
        val next = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: b\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
        val input = relay.exchange(head + next)
        val parts = input.split("\r\n\r\n")
        assertEquals(3, parts.size, input)
        assertTrue(input.endsWith("mine"), input)
        parts.dropLast(1).map { it.lineSequence().first() }
    }

    @Test
    fun `a refused HEAD request is answered without a body`() =
        assertEquals(listOf("HTTP/1.1 404 Not Found", "HTTP/1.1 200 OK"), answers("/nowhere"))

    @Test
    fun `a HEAD request on a plain route is answered without a body`() =
        assertEquals(listOf("HTTP/1.1 200 OK", "HTTP/1.1 200 OK"), answers("/look/1"))

    @Test
    fun `a HEAD request on a streaming route is answered without the end of a body`() =
        assertEquals(listOf("HTTP/1.1 200 OK", "HTTP/1.1 200 OK"), answers("/note/1"))
}
