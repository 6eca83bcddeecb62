package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The bodies of many requests filled the heap, and the router ended or answered nothing any more. */
class RequestMemoryTest {
    private val slow: (ScriptedRequest) -> Unit = {
        if (it.body.size > SMALL_BODY_BYTES) Thread.sleep(RESPONSE_MILLISECONDS)
        it.respond("200 OK", mapOf("Id" to "a"), "mine")
    }

    private fun post(bytes: Int) = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n" +
        "Content-Length: $bytes\r\n\r\n${"x".repeat(bytes)}"

    private fun relay() = TestRelay(slow, memory = MemoryLimits(REQUEST_MEMORY_BYTES, Long.MAX_VALUE))

    @Test
    fun `large requests are refused as not run while others take the memory, and small ones are served`() {
        relay().use { relay ->
            val callers = List(LARGE_REQUESTS) { relay.connect().send(post(LARGE_BODY_BYTES)) }
            Thread.sleep(RESPONSE_MILLISECONDS / 2)
            assertTrue(relay.exchange(post(SMALL_BODY_BYTES)).endsWith("mine"))
            val answers = callers.map { caller -> caller.use { it.readAll() } }
            val refused = answers.filter { it.startsWith("HTTP/1.1 503 ") }
            val mostHeld = (REQUEST_MEMORY_BYTES / LARGE_BODY_BYTES).toInt()
            assertTrue(refused.size >= LARGE_REQUESTS - mostHeld, "${refused.size} refused")
            assertTrue(refused.all { "retry-after:" in it.lowercase() })
            val statuses = answers.map { it.lineSequence().first() }
            assertEquals(LARGE_REQUESTS - refused.size, answers.count { it.endsWith("mine") }, "served of $statuses")
            assertEquals(LARGE_REQUESTS - refused.size + 1, relay.servers[0].requests.size, "sent of $statuses")
        }
    }

    @Test
    fun `the memory of requests that have ended is free for others`() {
        relay().use { relay ->
            repeat(LARGE_REQUESTS) {
                assertTrue(relay.exchange(post(LARGE_BODY_BYTES)).endsWith("mine"), "request $it")
            }
        }
    }

    @Test
    fun `a body in chunks is refused once it takes too much`() {
        relay().use { relay ->
            val head = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            val chunk = "10000\r\n${"x".repeat(CHUNK_BYTES)}\r\n"
            val answer = relay.exchange(head + chunk.repeat((REQUEST_MEMORY_BYTES / CHUNK_BYTES).toInt()) + "0\r\n\r\n")
            assertTrue(answer.startsWith("HTTP/1.1 503 "), answer)
            assertEquals(0, relay.servers[0].requests.size)
        }
    }

    private companion object {
        const val REQUEST_MEMORY_BYTES = 8_000_000L
        const val LARGE_BODY_BYTES = 1_000_000
        const val SMALL_BODY_BYTES = 1_000
        const val LARGE_REQUESTS = 12
        const val CHUNK_BYTES = 0x10000
        const val RESPONSE_MILLISECONDS = 600L
    }
}
