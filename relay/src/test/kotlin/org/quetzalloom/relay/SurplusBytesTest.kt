package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Surplus bytes that end with a line stayed in the decoder, and the next caller got 502 for a sound response. */
class SurplusBytesTest {
    private val surplus = listOf("HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nId: a\r\n", "garbage garbage\r\n")

    private fun ask(relay: TestRelay, id: String) =
        relay.exchange("POST /book/1 HTTP/1.1\r\nHost: app\r\nId: $id\r\nConnection: close\r\n\r\n").lines().first()

    /** Asks two requests of a server that answers by [respond], which gets its response and the surplus behind it. */
    private fun assertBothAnswered(respond: ScriptedRequest.(response: String, surplus: String) -> Unit) =
        surplus.forEach { bytes ->
            val script: (ScriptedRequest) -> Unit = {
                it.respond("HTTP/1.1 200 OK\r\nId: ${it.headers["id"]}\r\nContent-Length: 3\r\n\r\nown", bytes)
            }
            TestRelay(script).use { relay ->
                val first = ask(relay, "a")
                Thread.sleep(BETWEEN_REQUESTS_MILLISECONDS)
                assertEquals(List(2) { "HTTP/1.1 200 OK" }, listOf(first, ask(relay, "b")))
            }
        }

    @Test
    fun `surplus behind a response does not cost the next request its response`() =
        assertBothAnswered { response, surplus -> write(response + surplus) }

    @Test
    fun `surplus on an idle connection does not cost the next request its response`() =
        assertBothAnswered { response, surplus ->
            write(response)
            Thread.sleep(BEFORE_SURPLUS_MILLISECONDS)
            write(surplus)
        }

    private companion object {
        const val BEFORE_SURPLUS_MILLISECONDS = 50L
        const val BETWEEN_REQUESTS_MILLISECONDS = 150L
    }
}
