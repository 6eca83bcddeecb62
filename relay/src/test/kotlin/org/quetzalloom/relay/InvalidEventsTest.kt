package org.quetzalloom.relay

import kotlin.test.Test
import kotlin.test.assertEquals

/** The head of a second response was forwarded as an event. */
class InvalidEventsTest {
    private val note = "POST /note/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"
    private val firstEvent = "id: 1\ndata: one\n\n"

    private fun receive(body: String): ReceivedStream {
        val headers = mapOf("Id" to "a", "Content-Type" to "text/event-stream")
        return TestRelay({ it.respond("200 OK", headers, body) }).use { ReceivedStream.parse(it.exchange(note)) }
    }

    @Test
    fun `nothing is forwarded of an event with lines that are no fields`() {
        val events = listOf(
            "HTTP/1.1 500 Internal Server Error\r\n",
            "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 7\r\n",
            "id: 2\ndaHTTP/1.1 200 OK\r\nId: a\r\n",
            "id: 2\ndata: twHTTP/1.1 200 OK\r\nId: a\r\n",
            "id: 2\nContent-Type: x\n",
            "Id: a\n",
            "id 2: x\n",
            "a/b: x\n",
            "no response\n",
            "{\"status\":500}\n",
            "<html>\n",
        )
        val received = events.associateWith { receive("$firstEvent$it\nid: 3\ndata: three\n\n") }
        val wrong = received.filterValues { it != ReceivedStream(firstEvent, complete = false) }
        assertEquals(emptyMap(), wrong, "${wrong.size} of ${events.size} invalid events were forwarded")
    }

    @Test
    fun `sound streams are forwarded unchanged`() {
        val streams = listOf(
            "x-weight-versions: 3\nid: 2\ndata: two\n\n",
            "some_field.2: x\nid: 2\ndata\n\n",
            ": a comment with HTTP/1.1 200 OK and Id: a\n\n:\n\n",
            ": HTTP/1.1 200 OK\n: Id: a\n\n",
            "retry: 100\n\n",
            "event: ping\ndata:\n\ndata\n\n",
            "id: 2\r\nevent: note\r\ndata: two\r\n\r\n",
            "id: 2\r\ndata: two\n\r\n\n\n",
            "id: 2\ndata: HTTP/1.1 500 Internal Server Error\ndata: Id: a\ndata: Content-Length: 7\n\n",
            "data: HTTP/1.1 500 Internal Server Error\nid: 2\n\n",
            "data: see HTTP/1.1 404 Not Found\nid: 2\nevent: note\nretry: 5\nx-weight-versions: 4\n\n",
            "data: {\"text\":\"HTTP/1.1 200 OK\\r\\nId: a\\r\\n\\r\\n\"}\n\n",
            "data: one\rtwo: Three\n\n",
            "data: \u00C3\u00A9 \u00E2\u0082\u00AC <b> A/B Id: a\n\n",
        ).flatMap { listOf(firstEvent + it, it + "id: 3\ndata: three\n\n", "\u00EF\u00BB\u00BF" + it) }
        val wrong = streams.associateWith { receive(it) }.filter { it.value != ReceivedStream(it.key, complete = true) }
        assertEquals(emptyMap(), wrong)
    }
}
