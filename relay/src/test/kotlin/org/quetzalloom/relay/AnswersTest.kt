package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.util.concurrent.CompletableFuture
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A caller gets the whole answer to its own request, whatever a backend server does. */
class AnswersTest {
    private val get = "GET /look/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"
    private val post = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi"
    private val draft = "POST /draft/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"

    private fun ScriptedRequest.own(body: String = "mine") = answer("200 OK", mapOf("Id" to "a"), body)

    private fun ScriptedRequest.beginStream() =
        write("HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")

    private fun body(answer: String): String = answer.substringAfter("\r\n\r\n")

    @Test
    fun `an answer to another request that comes first is dropped`() {
        RelaySite({
            it.answer("200 OK", mapOf("Id" to "foreign"), "theirs")
            it.own()
        }).use { site ->
            assertEquals("mine", body(site.exchange(post)))
            assertEquals(1, site.servers[0].requests.size)
        }
    }

    @Test
    fun `surplus bytes after an answer never reach the next request`() {
        RelaySite({
            it.own()
            it.answer("200 OK", mapOf("Id" to "a"), "late")
        }).use { site ->
            repeat(5) { assertEquals("mine", body(site.exchange(get))) }
        }
    }

    @Test
    fun `an answer without length that ends with its connection is whole`() {
        RelaySite({
            it.write("HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it")
            it.close()
        }).use { assertEquals("all of it", body(it.exchange(post))) }
    }

    @Test
    fun `an answer without length whose connection is reset is not passed on`() {
        RelaySite({
            it.write("HTTP/1.1 200 OK\r\nId: a\r\n\r\nhalf of")
            Thread.sleep(50)
            it.reset()
        }).use { site ->
            val answer = site.exchange(post)
            assertTrue(" 502 " in answer.lineSequence().first(), answer)
            assertTrue("half of" !in answer)
            assertEquals(1, site.servers[0].requests.size)
        }
    }

    @Test
    fun `a cut answer to a read is asked for elsewhere, and one to a command is not`() {
        val cut: (ScriptedRequest) -> Unit = {
            it.write("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nhalf")
            it.close()
        }
        RelaySite(cut, cut).use { site ->
            assertTrue(" 502 " in site.exchange(get).lineSequence().first())
            assertEquals(2, site.servers.sumOf { it.requests.size })
            assertTrue(" 502 " in site.exchange(post).lineSequence().first())
            assertEquals(3, site.servers.sumOf { it.requests.size })
        }
    }

    @Test
    fun `bytes that are no answer are not passed on`() {
        RelaySite({
            it.write("garbage garbage\r\n\r\n")
            it.close()
        }).use { assertTrue(" 502 " in it.exchange(post).lineSequence().first()) }
    }

    @Test
    fun `a stream that breaks in the middle of an event goes on elsewhere, each event once`() {
        val script: (ScriptedRequest) -> Unit = { request ->
            request.beginStream()
            if (request.headers["last-event-id"] == null) {
                request.chunk("id: 1\ndata: one\n\nid: 2\ndata: tw")
                Thread.sleep(50)
                request.reset()
            } else {
                request.chunk("id: 2\ndata: two\n\nid: 3\ndata: three\n\n")
                request.write("0\r\n\r\n")
            }
        }
        RelaySite(script, script).use { site ->
            val events = body(site.exchange(draft)).lineSequence().filter { it.startsWith("id:") }.toList()
            assertEquals(listOf("id: 1", "id: 2", "id: 3"), events)
            val positions = site.servers.flatMap { it.requests }.map { it.headers["last-event-id"] }
            assertEquals(listOf(null, "1"), positions.sortedBy { it.orEmpty() })
        }
    }

    @Test
    fun `a stream that may not go on elsewhere is cut off, and does not look whole`() {
        RelaySite({
            it.beginStream()
            it.chunk("id: 1\ndata: one\n\n")
            Thread.sleep(50)
            it.reset()
        }).use { site ->
            val answer = site.exchange(draft.replace("/draft/", "/note/"))
            assertTrue("data: one" in answer)
            assertTrue(!answer.endsWith("0\r\n\r\n"))
            assertEquals(1, site.servers[0].requests.size)
        }
    }

    @Test
    fun `events are passed on as they come`() {
        RelaySite({
            it.beginStream()
            it.chunk("id: 1\ndata: one\n\n")
            it.awaitClose(milliseconds = 3_000)
        }).use { site ->
            site.connect().use { it.send(draft).readUntil("data: one") }
        }
    }

    @Test
    fun `a backend server hears at once that the caller has gone`() {
        val reached = CompletableFuture<Unit>()
        val closed = CompletableFuture<Boolean>()
        RelaySite({
            reached.complete(Unit)
            closed.complete(it.awaitClose(milliseconds = 500))
        }).use { site ->
            val caller = site.connect().send(get)
            reached.get()
            caller.close()
            assertTrue(closed.get())
        }
    }

    @Test
    fun `a long body is passed on whole`() {
        RelaySite({ it.own("${it.body.size} bytes") }).use { site ->
            val head = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n"
            assertEquals("9000 bytes", body(site.exchange("${head}Content-Length: 9000\r\n\r\n" + "x".repeat(9_000))))
        }
    }

    @Test
    fun `after an answer that comes before the body is read no request meets the rest of the body`() {
        val answering: (ScriptedRequest) -> Unit = {
            it.answer("200 OK", mapOf("Id" to it.headers.getValue("id")), "for ${it.headers["id"]}")
            Thread.sleep(300)
        }
        RelaySite(answering, early = true).use { site ->
            val length = RelaySite.MAXIMUM_BODY_BYTES
            val head = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nContent-Length: $length\r\n\r\n"
            site.connect().use { caller ->
                assertTrue(caller.send(head + "x".repeat(length)).readUntil("for a").startsWith("HTTP/1.1 200"))
            }
            val next = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: b\r\nContent-Length: 2\r\n\r\nok"
            site.connect().use { caller -> caller.send(next).readUntil("for b") }
            assertEquals(listOf("a", "b"), site.servers[0].requests.map { it.headers["id"] })
            assertEquals(2, site.servers[0].accepted)
        }
    }
}
