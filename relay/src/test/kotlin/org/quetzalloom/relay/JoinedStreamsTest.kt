package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import kotlin.test.Test
import kotlin.test.assertEquals

/**
 * A server wrote a part of a stream and then another response on the same connection. Callers got the head of the
 * second response as an event, or its events from the first one on in the middle of the stream, which then looked
 * complete.
 *
 * The stream is cut at every byte of its body.
 */
class JoinedStreamsTest {
    private val events = listOf("id: 1\ndata: one\n\n", "id: 2\ndata: two\n\n", "event: last\nid: 3\ndata: three\n\n")
    private val stream = events.joinToString("")
    private val head = "HTTP/1.1 200 OK\r\nId: a\r\nContent-Type: text/event-stream\r\n"
    private val otherHead = head.replace("Id: a", "Id: b")

    /** The head and the body of the stream. The first chunk has two events. */
    private val inChunks = "${head}Transfer-Encoding: chunked\r\n\r\n" to
        chunk(events[0] + events[1]) + chunk(events[2]) + "0\r\n\r\n"

    /** A chunk that has room for a whole second response. */
    private val inLongChunk = "${head}Transfer-Encoding: chunked\r\n\r\n" to "400\r\n$stream"
    private val withLength = "${head}Content-Length: ${stream.length}\r\n\r\n" to stream
    private val withoutLength = "$head\r\n" to stream

    private fun chunk(text: String) = "${text.length.toString(HEXADECIMAL)}\r\n$text\r\n"

    /** What follows the cut, by name. */
    private fun secondResponses(first: Pair<String, String>) = mapOf(
        "error" to "HTTP/1.1 500 Internal Server Error\r\nId: a\r\nContent-Length: 7\r\n\r\nproblem",
        "the stream anew" to first.first + first.second,
        "a copy for another request" to first.first.replace(head, otherHead) + first.second,
        "no response" to "\u0001\u0002 no response\r\nno response\r\n\r\nno response",
    )

    /** Cuts the first response for each path after as many bytes of its body as the path ends with. */
    private fun server(first: Pair<String, String>, second: String): (ScriptedRequest) -> Unit {
        val paths = ConcurrentHashMap.newKeySet<String>()
        return { request ->
            val path = request.requestLine.split(' ')[1]
            val after = request.headers["last-event-id"]?.toInt() ?: 0
            if (paths.add(path)) {
                request.write(first.first + first.second.take(path.substringAfterLast('/').toInt()))
                Thread.sleep(PAUSE_MILLISECONDS)
                request.write(second)
                Thread.sleep(PAUSE_MILLISECONDS)
                request.close()
            } else {
                request.write(inChunks.first + events.drop(after).joinToString("") { chunk(it) } + "0\r\n\r\n")
            }
        }
    }

    /** Returns what callers on [route] received, by what followed the cut and by the cut. */
    private fun receiveAll(route: String, first: Pair<String, String>): Map<Pair<String, Int>, ReceivedStream> {
        val threads = Executors.newFixedThreadPool(CONCURRENT_REQUESTS)
        val cuts = first.second.indices
        val received = secondResponses(first).flatMap { (name, second) ->
            val script = server(first, second)
            // A server that lost a response is not asked again for a while.
            val scripts = Array(cuts.last + CONCURRENT_REQUESTS) { script }
            TestRelay(*scripts).use { relay ->
                val calls = cuts.map { cut -> Callable { (name to cut) to receive(relay, "/$route/$cut") } }
                threads.invokeAll(calls).map { it.get() }
            }
        }
        threads.shutdown()
        return received.toMap()
    }

    private fun receive(relay: TestRelay, path: String): ReceivedStream = ReceivedStream.parse(
        relay.exchange("POST $path HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"),
    )

    private fun assertCompleteOrCutOff(first: Pair<String, String>) {
        val received = receiveAll("note", first)
        val wrong = received.filterValues { if (it.complete) it.body != stream else !stream.startsWith(it.body) }
        assertEquals(emptyMap(), wrong, "${wrong.size} of ${received.size} streams are wrong")
    }

    private fun assertResumed(first: Pair<String, String>) {
        val received = receiveAll("draft", first)
        val wrong = received.filterValues { it != ReceivedStream(stream, complete = true) }
        assertEquals(emptyMap(), wrong, "${wrong.size} of ${received.size} streams are wrong or were not resumed")
    }

    @Test
    fun `a cut stream in chunks with another response behind it is cut off`() = assertCompleteOrCutOff(inChunks)

    @Test
    fun `a stream cut in a long chunk with another response behind it is cut off`() =
        assertCompleteOrCutOff(inLongChunk)

    @Test
    fun `a stream cut in a long chunk with another response behind it resumes on another server`() =
        assertResumed(inLongChunk)

    @Test
    fun `a cut stream with a length and another response behind it is cut off`() = assertCompleteOrCutOff(withLength)

    @Test
    fun `a cut stream without a length and another response behind it is cut off`() =
        assertCompleteOrCutOff(withoutLength)

    @Test
    fun `a cut stream in chunks with another response behind it resumes on another server`() = assertResumed(inChunks)

    @Test
    fun `a cut stream with a length and another response behind it resumes on another server`() =
        assertResumed(withLength)

    @Test
    fun `a cut stream without a length and another response behind it resumes on another server`() =
        assertResumed(withoutLength)

    private companion object {
        const val HEXADECIMAL = 16
        const val PAUSE_MILLISECONDS = 25L
        const val CONCURRENT_REQUESTS = 8
    }
}
