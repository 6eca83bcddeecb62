package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertTrue

/** A response without end filled the memory of the router, or kept its thread from everything else. */
class EndlessResponsesTest {
    private val written = AtomicLong()

    private fun request(route: String) = "GET /$route/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"

    /** Writes [text] until the connection is closed, or far more than the router should take. */
    private fun ScriptedRequest.writeWithoutEnd(text: String) {
        while (written.get() < FAR_TOO_MUCH_BYTES) {
            write(text)
            written.addAndGet(text.length.toLong())
        }
    }

    @Test
    fun `a body without end is read up to a limit`() {
        TestRelay({
            it.write("HTTP/1.1 200 OK\r\nId: a\r\n\r\n")
            it.writeWithoutEnd("x".repeat(PIECE_BYTES))
        }).use { relay ->
            val response = relay.exchange(request("book"))
            assertTrue(response.startsWith("HTTP/1.1 502 "), response)
            assertTrue(written.get() < FAR_TOO_MUCH_BYTES, "the router took ${written.get()} bytes")
        }
    }

    @Test
    fun `an event without end is read up to a limit, and the requests beside it are answered`() {
        TestRelay({
            if ("/draft/" in it.requestLine) {
                it.write("HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n\r\n")
                it.writeWithoutEnd("x".repeat(PIECE_BYTES))
            } else {
                it.respond("200 OK", mapOf("Id" to "a"), "mine")
            }
        }).use { relay ->
            relay.connect().use { caller ->
                caller.send(request("draft"))
                Thread.sleep(STREAM_MILLISECONDS)
                assertTrue(relay.exchange(request("look")).endsWith("mine"))
                assertTrue(caller.readAll().startsWith("HTTP/1.1 502 "))
                assertTrue(written.get() < FAR_TOO_MUCH_BYTES, "the router took ${written.get()} bytes")
            }
        }
    }

    @Test
    fun `a head without end is not read on`() {
        TestRelay({
            it.write("HTTP/1.1 200 OK\r\nId: a\r\nX-Filler: ")
            it.writeWithoutEnd("x".repeat(PIECE_BYTES))
        }).use { relay ->
            assertTrue(relay.exchange(request("book")).startsWith("HTTP/1.1 502 "))
            assertTrue(written.get() < FAR_TOO_MUCH_BYTES, "the router took ${written.get()} bytes")
        }
    }

    private companion object {
        const val PIECE_BYTES = 65_536
        const val STREAM_MILLISECONDS = 100L

        /** More than the memory of the router. */
        const val FAR_TOO_MUCH_BYTES = 100_000_000L
    }
}
