package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests that a caller gets the complete response to its own request, whatever a backend server does. */
class ResponsesTest {
    private val get = "GET /look/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"
    private val post = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    private val draft = "POST /draft/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"

    private fun ScriptedRequest.respondWithOwnId(body: String = "mine") = respond("200 OK", mapOf("Id" to "a"), body)

    private fun ScriptedRequest.startStream() =
        write("HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")

    private fun body(response: String): String = response.substringAfter("\r\n\r\n")

    @Test
    fun `a response to another request that arrives first is skipped`() {
        TestRelay({
            it.respond("200 OK", mapOf("Id" to "foreign"), "theirs")
            it.respondWithOwnId()
        }).use { relay ->
            assertEquals("mine", body(relay.exchange(post)))
            assertEquals(1, relay.servers[0].requests.size)
        }
    }

    @Test
    fun `surplus bytes after a response never reach the next request`() {
        TestRelay({
            val id = it.headers.getValue("id")
            it.respond("200 OK", mapOf("Id" to id), "for $id")
            it.respond("200 OK", mapOf("Id" to id), "late, for $id")
        }).use { relay ->
            val ids = (1..20).map { "r$it" }
            assertEquals(ids.map { "for $it" }, ids.map { body(relay.exchange(get.replace("Id: a", "Id: $it"))) })
        }
    }

    @Test
    fun `a response without a length that ends with its connection is complete`() {
        TestRelay({
            it.write("HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it")
            it.close()
        }).use { assertEquals("all of it", body(it.exchange(post))) }
    }

    @Test
    fun `a response without a length whose connection is reset is not forwarded`() {
        TestRelay({
            it.write("HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf of")
            Thread.sleep(50)
            it.reset()
        }).use { relay ->
            val response = relay.exchange(post)
            assertTrue(" 502 " in response.lineSequence().first(), response)
            assertTrue("half of" !in response)
            assertEquals(1, relay.servers[0].requests.size)
        }
    }

    @Test
    fun `a truncated response to an idempotent request is retried, and one to another request is not`() {
        val truncate: (ScriptedRequest) -> Unit = {
            it.write("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf")
            it.close()
        }
        TestRelay(truncate, truncate).use { relay ->
            assertTrue(" 502 " in relay.exchange(get).lineSequence().first())
            assertEquals(2, relay.servers.sumOf { it.requests.size })
            assertTrue(" 502 " in relay.exchange(post).lineSequence().first())
            assertEquals(3, relay.servers.sumOf { it.requests.size })
        }
    }

    @Test
    fun `bytes that are not an HTTP response are not forwarded`() {
        TestRelay({
            it.write("garbage garbage\r\n\r\n")
            it.close()
        }).use { assertTrue(" 502 " in it.exchange(post).lineSequence().first()) }
    }

    @Test
    fun `a stream that breaks in the middle of an event resumes on another server, each event once`() {
        val script: (ScriptedRequest) -> Unit = { request ->
            request.startStream()
            if (request.headers["last-event-id"] == null) {
                request.writeChunk("id: 1\ndata: one\n\nid: 2\ndata: tw")
                Thread.sleep(50)
                request.reset()
            } else {
                request.writeChunk("id: 2\ndata: two\n\nid: 3\ndata: three\n\n")
                request.write("0\r\n\r\n")
            }
        }
        TestRelay(script, script).use { relay ->
            val events = body(relay.exchange(draft)).lineSequence().filter { it.startsWith("id:") }.toList()
            assertEquals(listOf("id: 1", "id: 2", "id: 3"), events)
            val positions = relay.servers.flatMap { it.requests }.map { it.headers["last-event-id"] }
            assertEquals(listOf(null, "1"), positions.sortedBy { it.orEmpty() })
        }
    }

    @Test
    fun `a broken stream that is not resumable is cut off, and does not look complete`() {
        TestRelay({
            it.startStream()
            it.writeChunk("id: 1\ndata: one\n\n")
            Thread.sleep(50)
            it.reset()
        }).use { relay ->
            val response = relay.exchange(draft.replace("/draft/", "/note/"))
            assertTrue("data: one" in response)
            assertTrue(!response.endsWith("0\r\n\r\n"))
            assertEquals(1, relay.servers[0].requests.size)
        }
    }

    @Test
    fun `a stream that breaks before its first event is answered with an error, not with a closed connection`() {
        TestRelay({
            it.startStream()
            Thread.sleep(50)
            it.reset()
        }).use { relay ->
            val response = relay.exchange(draft.replace("/draft/", "/note/"))
            assertTrue(response.startsWith("HTTP/1.1 502 "), response)
            assertEquals(1, relay.servers[0].requests.size)
        }
    }

    @Test
    fun `events are forwarded as they arrive`() {
        TestRelay({
            it.startStream()
            it.writeChunk("id: 1\ndata: one\n\n")
            it.awaitClose(milliseconds = 3_000)
        }).use { relay ->
            relay.connect().use { it.send(draft).readUntil("data: one") }
        }
    }

    @Test
    fun `the backend connection is closed as soon as the caller disconnects`() {
        val requestReceived = CompletableFuture<Unit>()
        val connectionClosed = CompletableFuture<Boolean>()
        TestRelay({
            requestReceived.complete(Unit)
            connectionClosed.complete(it.awaitClose(milliseconds = 500))
        }).use { relay ->
            val caller = relay.connect().send(get)
            requestReceived.get()
            caller.close()
            assertTrue(connectionClosed.get())
        }
    }

    @Test
    fun `a long request body is forwarded completely`() {
        TestRelay({ it.respondWithOwnId("${it.body.size} bytes") }).use { relay ->
            val head = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n"
            assertEquals("9000 bytes", body(relay.exchange("${head}Content-Length: 9000\r\n\r\n" + "x".repeat(9_000))))
        }
    }

    /** On the old connection, the unread rest of the body would be taken for the next request. */
    @Test
    fun `a server that responds before it reads the body gets the next request on a new connection`() {
        val respondEarly: (ScriptedRequest) -> Unit = {
            it.respond("200 OK", mapOf("Id" to it.headers.getValue("id")), "for ${it.headers["id"]}")
            Thread.sleep(300)
        }
        TestRelay(respondEarly, respondBeforeBody = true).use { relay ->
            val length = TestRelay.MAXIMUM_BODY_BYTES
            val head = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nContent-Length: $length\r\n\r\n"
            relay.connect().use { caller ->
                assertTrue(caller.send(head + "x".repeat(length)).readUntil("for a").startsWith("HTTP/1.1 200"))
            }
            val next = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: b\r\nContent-Length: 2\r\n\r\nok"
            relay.connect().use { caller -> caller.send(next).readUntil("for b") }
            assertEquals(listOf("a", "b"), relay.servers[0].requests.map { it.headers["id"] })
            assertEquals(2, relay.servers[0].acceptedConnections)
        }
    }
}
