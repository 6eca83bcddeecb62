package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.util.concurrent.atomic.AtomicLong
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** The router ran requests and held their responses for callers that did not read them. */
class UnreadResponsesTest {
    private fun request(id: String, last: Boolean = false): String {
        val connection = if (last) "Connection: close\r\n" else ""
        return "GET /look/$id HTTP/1.1\r\nHost: app\r\nId: $id\r\n$connection\r\n"
    }

    private fun twoRequests(id: String) = request("$id-1") + request("$id-2", last = true)

    private fun respond(bytes: Int): (ScriptedRequest) -> Unit = {
        val id = it.headers.getValue("id")
        it.respond("200 OK", mapOf("Id" to id), "x".repeat(bytes) + "end-$id")
    }

    /** Returns the number of requests that have reached the servers once no further one comes for a while. */
    private fun TestRelay.awaitQuiet(polls: Int = QUIET_POLLS): Int {
        var received = 0
        var quietPolls = 0
        while (quietPolls < polls) {
            Thread.sleep(POLL_MILLISECONDS)
            val now = servers.sumOf { it.requests.size }
            quietPolls = if (now == received) quietPolls + 1 else 0
            received = now
        }
        return received
    }

    @Test
    fun `pipelined requests wait while their caller does not read, and are all answered when it does`() {
        val memory = MemoryLimits(unreadBytes = SMALL_UNREAD_MEMORY_BYTES)
        TestRelay(respond(RESPONSE_BYTES), memory = memory).use { relay ->
            relay.connectWithBuffer(RECEIVE_BUFFER_BYTES).use { caller ->
                repeat(REQUESTS) { caller.send(request("a$it", last = it == REQUESTS - 1)) }
                val received = relay.awaitQuiet()
                assertTrue(received < REQUESTS, "all $received requests have been sent")
                val ends = Regex("end-(a\\d+)").findAll(caller.readAll()).map { it.groupValues[1] }.toList()
                assertEquals(List(REQUESTS) { "a$it" }, ends)
            }
        }
    }

    @Test
    fun `a stream is not read on behind a response that its caller does not read`() {
        val streamed = AtomicLong()
        val respondLarge = respond(LARGE_RESPONSE_BYTES)
        TestRelay({
            if ("/look/" in it.requestLine) {
                respondLarge(it)
            } else {
                it.write("HTTP/1.1 200 OK\r\nId: stream\r\nTransfer-Encoding: chunked\r\n\r\n")
                while (streamed.get() < STREAM_BYTES) {
                    it.writeChunk("x".repeat(RESPONSE_BYTES))
                    streamed.addAndGet(RESPONSE_BYTES.toLong())
                }
            }
        }).use { relay ->
            relay.connectWithBuffer(RECEIVE_BUFFER_BYTES).use { caller ->
                caller.send(request("a-1") + request("a-2") + request("stream").replace("/look/", "/note/"))
                relay.awaitQuiet()
                assertEquals(3, relay.servers[0].requests.size)
                assertTrue(streamed.get() < STREAM_BYTES, "the router has read ${streamed.get()} bytes")
            }
        }
    }

    @Test
    fun `a caller that reads slowly gets its responses while others that read nothing are dropped`() {
        val memory = MemoryLimits(unreadBytes = UNREAD_MEMORY_BYTES)
        TestRelay(respond(LARGE_RESPONSE_BYTES), memory = memory).use { relay ->
            relay.connectWithBuffer(RECEIVE_BUFFER_BYTES).use { slow ->
                slow.send(twoRequests("slow"))
                var unread = 2 * LARGE_RESPONSE_BYTES
                val silent = List(SILENT_CALLERS) { caller ->
                    relay.connectWithBuffer(RECEIVE_BUFFER_BYTES).apply {
                        send(twoRequests("silent-$caller"))
                        relay.awaitQuiet(polls = 2)
                        unread -= slow.readBytes(READ_BYTES).size
                    }
                }
                assertTrue(unread > 0, "the slow caller has read everything")
                assertTrue(slow.readAll().endsWith("end-slow-2"), "the slow caller was dropped")
                val complete = silent.count { caller ->
                    caller.use { runCatching { it.readAll() }.getOrDefault("").endsWith("-2") }
                }
                assertTrue(complete in 1 until SILENT_CALLERS, "$complete silent callers got everything late")
            }
        }
    }

    private companion object {
        const val RECEIVE_BUFFER_BYTES = 16_384
        const val RESPONSE_BYTES = 20_000

        /** More responses than the buffers of a loopback connection hold. */
        const val REQUESTS = 600
        const val SMALL_UNREAD_MEMORY_BYTES = 1_000_000L

        /** More than the buffers of two loopback connections hold. */
        const val STREAM_BYTES = 50_000_000L
        const val UNREAD_MEMORY_BYTES = 16_000_000L
        const val LARGE_RESPONSE_BYTES = 3_500_000
        const val SILENT_CALLERS = 8
        const val READ_BYTES = 800_000
        const val POLL_MILLISECONDS = 50L
        const val QUIET_POLLS = 20
    }
}
