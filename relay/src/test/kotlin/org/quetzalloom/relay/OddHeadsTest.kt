package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Heads that no sound server sends reached callers as answers, with an odd line or another body. */
class OddHeadsTest {
    private fun answerTo(route: String, head: String): String =
        TestRelay({ it.write("$head\r\nId: a\r\nSig: s\r\nContent-Length: 2\r\n\r\nok") }).use { relay ->
            relay.exchange("POST /$route/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n")
        }

    private val heads = listOf(
        "HTTP/1.1 000 OK",
        "HTTP/1.1 000",
        "HTTP/1.1 0200 OK",
        "HTTP/1.1 200 OK\r\nNo te: a",
        "HTTP/1.1 200 OK\r\nNo\u0001te: a",
        "HTTP/1.1 200 OK\r\nContent-Length : 1",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding x: chunked",
    )

    @Test
    fun `an answer with an odd head is not forwarded`() {
        val answers = heads.associateWith { answerTo("book", it) }.filterValues { !it.startsWith("HTTP/1.1 502 ") }
        assertEquals(emptyMap(), answers)
    }

    @Test
    fun `a stream with an odd head is not forwarded`() {
        val answers = heads.associateWith { answerTo("note", it) }.filterValues { !it.startsWith("HTTP/1.1 502 ") }
        assertEquals(emptyMap(), answers)
    }

    @Test
    fun `a request that may run again is answered by another server`() {
        val odd: (ScriptedRequest) -> Unit = { it.write("HTTP/1.1 000 OK\r\nId: a\r\nContent-Length: 3\r\n\r\nodd") }
        val sound: (ScriptedRequest) -> Unit = { it.respond("200 OK", mapOf("Id" to "a"), "mine") }
        TestRelay(odd, sound).use { relay ->
            repeat(REQUESTS) {
                val request = "GET /look/$it HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n"
                val answer = relay.exchange(request)
                assertTrue(answer.endsWith("mine"), answer)
            }
        }
    }

    private companion object {
        /** Enough that the odd server gets some of them first. */
        const val REQUESTS = 4
    }
}
