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

    private fun assertReadUpToALimit(script: ScriptedRequest.() -> Unit) {
        TestRelay({ it.script() }).use { relay ->
            val response = relay.exchange(request("book"))
            assertTrue(response.startsWith("HTTP/1.1 502 "), response)
            assertTrue(written.get() < FAR_TOO_MUCH_BYTES, "the router took ${written.get()} bytes")
        }
    }

    @Test
    fun `interim responses without end are read up to a limit`() =
        assertReadUpToALimit { writeWithoutEnd("HTTP/1.1 103 Early Hints\r\n\r\n".repeat(REPETITIONS)) }

    @Test
    fun `responses to other requests without end are read up to a limit`() = assertReadUpToALimit {
        writeWithoutEnd("HTTP/1.1 200 OK\r\nId: foreign\r\nContent-Length: 2\r\n\r\nhi".repeat(REPETITIONS))
    }

    @Test
    fun `the body of a response to another request is read up to a limit`() = assertReadUpToALimit {
        write("HTTP/1.1 200 OK\r\nId: foreign\r\n\r\n")
        writeWithoutEnd("x".repeat(PIECE_BYTES))
    }

    @Test
    fun `empty lines before a response are read up to a limit`() =
        assertReadUpToALimit { writeWithoutEnd("\r\n".repeat(REPETITIONS)) }

    @Test
    fun `a chunk extension is read up to a limit`() = assertReadUpToALimit {
        write("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n2;")
        writeWithoutEnd("x".repeat(PIECE_BYTES))
    }

    @Test
    fun `trailers are read up to a limit`() = assertReadUpToALimit {
        write("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n")
        writeWithoutEnd("X-Filler: x\r\n".repeat(REPETITIONS))
    }

    @Test
    fun `many bodies together are read up to a limit, and the requests beside them are answered`() {
        TestRelay(
            {
                if ("/book/" in it.requestLine) {
                    it.write("HTTP/1.1 200 OK\r\nId: a\r\n\r\n" + "x".repeat(LARGE_BODY_BYTES))
                    it.awaitClose(milliseconds = 5_000)
                } else {
                    it.write("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nfirst")
                    Thread.sleep(SLOW_MILLISECONDS)
                    it.write("-rest")
                }
            },
            memory = MemoryLimits(responseBytes = RESPONSE_MEMORY_BYTES),
        ).use { relay ->
            relay.connect().use { neighbour ->
                neighbour.send(request("look"))
                Thread.sleep(STREAM_MILLISECONDS)
                val callers = List(LARGE_BODIES) { relay.connect().send(request("book")) }
                val statuses = callers.map { it.use { caller -> caller.readAll().take("HTTP/1.1 502".length) } }
                val most = RESPONSE_MEMORY_BYTES / LARGE_BODY_BYTES
                // The others still wait for their ends at their deadlines.
                assertTrue(statuses.count { it == "HTTP/1.1 504" } <= most, "$statuses")
                assertTrue(neighbour.readAll().endsWith("first-rest"))
            }
        }
    }

    private companion object {
        const val PIECE_BYTES = 65_536
        const val REPETITIONS = 2_000
        const val STREAM_MILLISECONDS = 100L
        const val SLOW_MILLISECONDS = 500L
        const val LARGE_BODY_BYTES = 1_500_000
        const val LARGE_BODIES = 12
        const val RESPONSE_MEMORY_BYTES = 8_000_000L

        /** More than the memory of the router. */
        const val FAR_TOO_MUCH_BYTES = 100_000_000L
    }
}
