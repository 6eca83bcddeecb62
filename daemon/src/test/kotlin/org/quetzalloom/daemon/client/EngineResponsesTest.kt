package org.quetzalloom.daemon.client

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import org.quetzalloom.core.backend.AttemptFailure
import org.quetzalloom.core.request.Target
import org.quetzalloom.standins.scripted.ScriptedServer
import kotlin.test.Test
import kotlin.test.assertEquals

/** Attempts at engines whose streams are cut off or joined with another one. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class EngineResponsesTest {
    private val clients = RecordedClients()
    private val head = "HTTP/1.1 200 OK\r\nX-Start-Identity: s\r\nContent-Type: text/event-stream\r\n"
    private val error = "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nno"
    private val broken = Outcome.Failed(AttemptFailure.BROKEN)

    @AfterAll
    fun close() = clients.close()

    private fun events(name: String) =
        List(3) { "data: {\"position\":$it,\"tokens\":1,\"text\":\"$name$it\"}\n\n" } + "data: {\"total\":3}\n\n"

    private fun withoutLength(name: String) = "${head}Connection: close\r\n\r\n" + events(name).joinToString("")

    private fun inChunks(name: String) = "${head}Transfer-Encoding: chunked\r\n\r\n" +
        events(name).joinToString("") { "${it.length.toString(16)}\r\n$it\r\n" } + "0\r\n\r\n"

    private fun answered(name: String) =
        Outcome.Answered(status = 200, tokens = 3, chunks = List(3) { it to "$name$it" })

    private fun attempt(port: Int) = clients.attempt(port, Target.Completion("m", maximumTokens = 3, streamed = true))

    private fun outcomeOf(response: String): Outcome = ScriptedServer { request ->
        request.write(response)
        request.close()
    }.start().use { server -> attempt(server.port)() }

    private fun check(response: String, second: String) = CutResponses.check(response, second, ::attempt) {
        it == broken || it == answered("first") || it == answered("second")
    }

    @Test
    fun `a stream with an odd head fails the attempt`() {
        val rest = "X-Start-Identity: s\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n" +
            events("first").joinToString("")
        val heads = listOf("000 OK", "600 OK", "200 OK\r\nNo te: a", "200 OK\r\nNo\u0001te: a")
        assertEquals(heads.associateWith { broken }, heads.associateWith { outcomeOf("HTTP/1.1 $it\r\n$rest") })
    }

    @Test
    fun `a stream that ends early fails the attempt`() {
        check(withoutLength("first"), second = "")
        check(inChunks("first"), second = "")
    }

    @Test
    fun `a stream without length that goes on as an error fails the attempt`() = check(withoutLength("first"), error)

    @Test
    fun `a stream without length that is begun anew fails the attempt`() =
        check(withoutLength("first"), withoutLength("second"))

    @Test
    fun `a stream in chunks that goes on as an error fails the attempt`() = check(inChunks("first"), error)

    @Test
    fun `a stream in chunks that is begun anew fails the attempt`() = check(inChunks("first"), inChunks("second"))

    @Test
    fun `a stream whose positions go back fails the attempt`() {
        val events = events("first")
        assertEquals(broken, outcomeOf("${head}Connection: close\r\n\r\n" + (events.take(2) + events).joinToString("")))
    }

    @Test
    fun `comments and all fields of events belong to a sound stream`() {
        val fields = ": comment HTTP/1.1 200 OK\nid: 1\nevent: tokens\nretry: 100\nretry\n"
        val events = events("first").joinToString("") { fields + it }
        assertEquals(answered("first"), outcomeOf("${head}Connection: close\r\n\r\n$events"))
    }
}
