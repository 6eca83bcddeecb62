package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * A server broke off a response and began another one on the same connection, and the caller got a mixture of the two.
 *
 * Each test breaks off a response at every byte of one of its parts. What a caller takes for whole must be one response
 * of the server.
 */
class JoinedResponsesTest {
    private val first = response("200 OK", id = "a", signature = "first", body = "first one, first two, end")
    private val failure = response("500 Internal Server Error", id = "a", signature = "failure", body = "problem")
    private val foreign = response("200 OK", id = "r1-20", signature = "foreign", body = "theirs")
    private val stream = response("200 OK", id = "a", signature = "stream", type = "text/event-stream")
    private val headCuts = 1..<first.indexOf("\r\n\r\n") + HEAD_END_BYTES
    private val streamHeadCuts = 1..<stream.indexOf("\r\n\r\n") + HEAD_END_BYTES

    @Test
    fun `a failure that begins inside the head of a success is not joined to it`() =
        assertNoMixture("GET /book/1", first, failure, headCuts)

    @Test
    fun `a late copy that begins inside the head of a success is not joined to it`() =
        assertNoMixture("GET /book/1", first, foreign, headCuts)

    @Test
    fun `a failure that begins inside the head of a stream is not joined to it`() =
        assertNoMixture("POST /note/1", stream, failure, streamHeadCuts)

    @Test
    fun `a late copy that begins inside the head of a stream is not joined to it`() =
        assertNoMixture("POST /note/1", stream, foreign, streamHeadCuts)

    @Test
    fun `a failure that begins inside a body is not taken for its rest`() =
        assertNoMixture("GET /book/1", first, failure, headCuts.last + 1..<first.length)

    @Test
    fun `a failure without an id that begins inside a body is not taken for its rest`() {
        val unnamed = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 7\r\n\r\nproblem"
        assertNoMixture("GET /book/1", first, unnamed, headCuts.last + 1..<first.length)
    }

    @Test
    fun `a late copy that begins inside a body is not taken for its rest`() =
        assertNoMixture("GET /book/1", first, foreign, headCuts.last + 1..<first.length)

    @Test
    fun `a late copy that begins inside a chunk is not taken for its rest`() {
        val head = first.substringBefore("Content-Length")
        val chunked = "${head}Transfer-Encoding: chunked\r\n\r\n18\r\nfirst one, first two, end\r\n0\r\n\r\n"
        assertNoMixture("GET /book/1", chunked, foreign, chunked.indexOf("18\r\n")..<chunked.length)
    }

    @Test
    fun `a late copy that begins inside a body without a length is not taken for its rest`() {
        val unlimited = first.substringBefore("Content-Length") + "\r\nfirst one, first two, end"
        assertNoMixture("GET /book/1", unlimited, foreign, unlimited.indexOf("first one")..<unlimited.length)
    }

    @Test
    fun `a late copy that begins inside a body on a streaming route is not taken for its rest`() =
        assertNoMixture("POST /note/1", first, foreign, headCuts.last + 1..<first.length)

    @Test
    fun `surplus bytes and late copies behind a response do not cost the caller the response`() {
        val surplus = listOf("", "x", "garbage garbage\r\n\r\n", first, failure, foreign, "HTTP/1.1 ")
        TestRelay({ it.write(first + surplus[it.headers.getValue("cut").toInt()]) }).use { relay ->
            val received = surplus.indices.map { partsOrNull(relay.ask("GET /book/1", it)) }
            assertEquals(List(surplus.size) { partsOrNull(first) }, received)
        }
    }

    @Test
    fun `a body that quotes a response without an id is forwarded`() {
        val quoted = "as in\r\n\r\nHTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nor HTTP/1.1 404 Not Found"
        val quoting = response("200 OK", id = "a", signature = "quote", body = quoted)
        TestRelay(
            { it.write(quoting) }
        ).use { assertEquals(partsOrNull(quoting), partsOrNull(it.ask("GET /book/1", 0))) }
    }

    private fun assertNoMixture(request: String, first: String, second: String, cuts: IntRange) {
        val sound = setOf(first, second).map { partsOrNull(it) }
        val script: (ScriptedRequest) -> Unit = {
            it.write(first.take(it.headers.getValue("cut").toInt()))
            Thread.sleep(PAUSE_MILLISECONDS)
            it.write(second)
            it.awaitClose(OPEN_MILLISECONDS)
            it.close()
        }
        TestRelay(*Array(SERVERS) { script }).use { relay ->
            val shares = cuts.chunked((cuts.count() + CALLERS - 1) / CALLERS)
            val mixtures = shares.parallelStream()
                .flatMap { share -> share.stream().map { it to relay.ask(request, it) } }
                .filter { (_, received) -> partsOrNull(received).let { it != null && it !in sound } }
                .toList()
            assertEquals(emptyList(), mixtures, "mixtures at ${mixtures.size} of ${cuts.count()} cuts")
            val asked = relay.servers.flatMap { it.requests }.map { it.headers.getValue("cut").toInt() }
            assertEquals(cuts.toList(), asked.distinct().sorted())
        }
    }

    /** Asks until a server takes the request: those that closed connections get none for some time. */
    private fun TestRelay.ask(request: String, cut: Int): String = (1..MAXIMUM_ASKS).asSequence().map {
        exchange("$request HTTP/1.1\r\nHost: app\r\nId: a\r\nCut: $cut\r\nConnection: close\r\n\r\n")
    }.run { firstOrNull { !it.startsWith("HTTP/1.1 503 ") } ?: error("no server took the request with cut $cut") }

    /** Returns status, id, signature and body of [response], or `null` if it is incomplete or the router's own. */
    private fun partsOrNull(response: String): List<String?>? {
        val head = response.substringBefore("\r\n\r\n").lines()
        val body = response.substringAfter("\r\n\r\n")
        val headers = head.drop(1).associate { it.substringBefore(": ").lowercase() to it.substringAfter(": ") }
        val chunked = headers["transfer-encoding"] == "chunked"
        val whole = if (chunked) body.endsWith("0\r\n\r\n") else headers["content-length"] == "${body.length}"
        val own = headers["sig"] == null && Regex("HTTP/1.1 50[24] .*").matches(head[0])
        return if (!whole || own) null else listOf(head[0], headers["id"], headers["sig"], body)
    }

    private companion object {
        const val HEAD_END_BYTES = 4
        const val PAUSE_MILLISECONDS = 25L
        const val OPEN_MILLISECONDS = 100
        const val CALLERS = 4
        const val MAXIMUM_ASKS = 20
        const val SERVERS = 12

        fun response(
            status: String,
            id: String,
            signature: String,
            type: String = "text/plain",
            body: String? = null,
        ): String {
            val framing = body?.let { "Content-Length: ${it.length}" } ?: "Transfer-Encoding: chunked"
            val content = body ?: "12\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n"
            return "HTTP/1.1 $status\r\nDate: today\r\nId: $id\r\nSig: $signature\r\nContent-Type: $type\r\n" +
                "$framing\r\n\r\n$content"
        }
    }
}
