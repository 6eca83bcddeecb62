package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Half of a response looked complete when its connection was reset while the request was still being sent. */
class ResetWhileSendingTest {
    private val length = TestRelay.MAXIMUM_BODY_BYTES
    private val body = "x".repeat(length)
    private val plainHead = "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
    private val streamHead = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\n"

    private fun relay(vararg scripts: (ScriptedRequest) -> Unit) = TestRelay(*scripts, respondBeforeBody = true)

    private fun TestRelay.send(route: String): String = exchange(
        "POST /$route/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\nContent-Length: $length\r\n\r\n$body",
    )

    private fun ScriptedRequest.writeAndWait(text: String) {
        write(text)
        Thread.sleep(BEFORE_END_MILLISECONDS)
    }

    @Test
    fun `a response without a length that is reset while the request is being sent is not forwarded`() {
        relay({
            it.writeAndWait("${plainHead}half of")
            it.reset()
        }).use { relay ->
            val response = relay.send("book")
            assertTrue(response.startsWith("HTTP/1.1 502 "), response)
            assertTrue("half of" !in response, response)
        }
    }

    @Test
    fun `a response without a length that ends and is then reset while the request is being sent is not forwarded`() {
        relay({
            it.write("${plainHead}half of")
            it.endOutput()
            Thread.sleep(BEFORE_END_MILLISECONDS)
            it.reset()
        }).use { relay ->
            val response = relay.send("book")
            assertTrue(response.startsWith("HTTP/1.1 502 "), response)
        }
    }

    @Test
    fun `a stream without a length that is reset while the request is being sent does not look complete`() {
        relay({
            it.writeAndWait("${streamHead}id: 1\ndata: one\n\n")
            it.reset()
        }).use { relay ->
            val response = relay.send("note")
            assertTrue("data: one" in response, response)
            assertTrue(!response.endsWith("0\r\n\r\n"), response)
        }
    }

    @Test
    fun `a stream without a length that is reset while the request is being sent resumes on another server`() {
        val script: (ScriptedRequest) -> Unit = { request ->
            if (request.headers["last-event-id"] == null) {
                request.writeAndWait("${streamHead}id: 1\ndata: one\n\n")
                request.reset()
            } else {
                request.write("${streamHead}id: 2\ndata: two\n\n")
                request.endOutput()
            }
        }
        relay(script, script).use { relay ->
            val response = relay.send("draft")
            val events = response.lineSequence().filter { it.startsWith("data:") }.toList()
            assertEquals(listOf("data: one", "data: two"), events)
            assertTrue(response.endsWith("0\r\n\r\n"), response)
        }
    }

    @Test
    fun `a response with a length that is complete before the reset is forwarded`() {
        relay({
            it.respond("200 OK", mapOf("Id" to "a"), "all of it")
            it.reset()
        }).use { relay ->
            repeat(RACES) { assertTrue(relay.send("book").endsWith("all of it"), "race $it") }
        }
    }

    @Test
    fun `a response without a length that ends in order before the request has been sent is complete`() {
        relay({
            it.write("${plainHead}all of it")
            it.endOutput()
            Thread.sleep(BEFORE_END_MILLISECONDS)
        }).use { relay ->
            val response = relay.send("book")
            assertTrue(response.startsWith("HTTP/1.1 200 "), response)
            assertTrue(response.endsWith("all of it"), response)
        }
    }

    private companion object {
        const val BEFORE_END_MILLISECONDS = 100L

        /** Whether the router finds the response or the reset first differs from one run to the next. */
        const val RACES = 20
    }
}
