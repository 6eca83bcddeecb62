package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests that were sent without waiting for the answers before them got neither an answer nor a refusal. */
class PipelinedRequestsTest {
    private val echo: (ScriptedRequest) -> Unit =
        { it.respond("200 OK", mapOf("Id" to it.headers.getValue("id")), "for ${it.headers["id"]};") }
    private val slowEcho: (ScriptedRequest) -> Unit = {
        Thread.sleep(RESPONSE_MILLISECONDS)
        echo(it)
    }

    private fun get(id: String) = "GET /look/1 HTTP/1.1\r\nHost: app\r\nId: $id\r\n\r\n"

    private fun answered(input: String): List<String> =
        Regex("for (\\w+);").findAll(input).map { it.groupValues[1] }.toList()

    @Test
    fun `requests that are sent without waiting for answers are all answered, in order`() {
        TestRelay(slowEcho).use { relay ->
            val ids = (1..9).map { "r$it" }
            relay.connect().use { caller ->
                val input = caller.send(ids.joinToString("") { get(it) }).readUntil("for r9;")
                assertEquals(ids, answered(input))
            }
        }
    }

    @Test
    fun `a malformed request does not take the answers of the requests before it, and is answered itself`() {
        TestRelay(slowEcho).use { relay ->
            val input = relay.connect().use { it.send(get("a") + get("b") + "nonsense\r\n\r\n").readAll() }
            assertEquals(listOf("a", "b"), answered(input))
            assertTrue("HTTP/1.1 400" in input.substringAfter("for b;"), input)
        }
    }

    @Test
    fun `requests that were accepted before a graceful stop are all answered`() {
        TestRelay(slowEcho).use { relay ->
            relay.connect().use { caller ->
                caller.send(get("a") + get("b") + get("c"))
                Thread.sleep(RESPONSE_MILLISECONDS / 2)
                relay.requestStop()
                val input = caller.readAll()
                assertEquals(listOf("a", "b", "c"), answered(input))
                assertEquals(1, Regex("connection: close", RegexOption.IGNORE_CASE).findAll(input).count(), input)
            }
        }
    }

    @Test
    fun `a request that was arriving when the response before it ended during a graceful stop is answered`() {
        TestRelay(slowEcho).use { relay ->
            relay.connect().use { caller ->
                val post = "POST /look/1 HTTP/1.1\r\nHost: app\r\nId: b\r\nContent-Length: 2\r\n\r\nok"
                caller.send(get("a"))
                relay.requestStop()
                Thread.sleep(RESPONSE_MILLISECONDS / 4)
                caller.send(post.dropLast(1)).readUntil("for a;")
                assertTrue("for b;" in caller.send(post.takeLast(1)).readAll())
            }
        }
    }

    private companion object {
        const val RESPONSE_MILLISECONDS = 100L
    }
}
