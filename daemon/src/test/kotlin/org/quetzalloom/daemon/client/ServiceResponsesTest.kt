package org.quetzalloom.daemon.client

import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.TestInstance
import org.quetzalloom.core.backend.AttemptFailure
import org.quetzalloom.core.request.Target
import org.quetzalloom.standins.scripted.ScriptedServer
import kotlin.test.Test
import kotlin.test.assertEquals

/** Attempts at services whose responses are cut off, joined with another one, or malformed. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class ServiceResponsesTest {
    private val clients = RecordedClients()
    private val call = Target.ServiceCall("GET", "/ovens/1")
    private val head = "HTTP/1.1 200 OK\r\nDate: today\r\nX-Start-Identity: s\r\nContent-Type: text/plain\r\n"
    private val bodyHead = "${head}Content-Length: 9\r\n\r\n"
    private val chunksHead = "${head}Transfer-Encoding: chunked\r\n\r\n"
    private val second = "HTTP/1.1 500 Internal Server Error\r\nX-Start-Identity: s\r\nContent-Type: text/plain\r\n" +
        "Content-Length: 7\r\n\r\nproblem"
    private val broken = Outcome.Failed(AttemptFailure.BROKEN)

    @AfterAll
    fun close() = clients.close()

    private fun answered(status: Int, text: String) = Outcome.Answered(status, tokens = 1, chunks = listOf(0 to text))

    private fun outcomeOf(response: String): Outcome = ScriptedServer { request ->
        request.write(response)
        Thread.sleep(PAUSE_MILLISECONDS)
        request.close()
    }.start().use { server -> clients.attempt(server.port, call)() }

    private fun attempt(port: Int) = clients.attempt(port, call)

    @Test
    fun `a response with a length that ends early fails the attempt`() =
        CutResponses.check(bodyHead + "the whole", second = "", ::attempt) { it == broken }

    @Test
    fun `a head that goes on as another response fails the attempt`() =
        CutResponses.check(bodyHead, second, ::attempt) { it == broken || it == answered(500, "problem") }

    @Test
    fun `a head of a response in chunks that goes on as another response fails the attempt`() =
        CutResponses.check(chunksHead, second, ::attempt) { it == broken || it == answered(500, "problem") }

    @Test
    fun `a response in chunks that ends between two chunks fails the attempt`() =
        CutResponses.check("${chunksHead}2\r\nok\r\n0\r\n\r\n", second = "", ::attempt) { it == broken }

    @Test
    fun `a body that is filled up from the head of another response fails the attempt`() {
        val filled = "half$second"
        val lengths = (filled.length - 9..filled.length - 1)
        assertEquals(
            lengths.associateWith { broken },
            lengths.associateWith { outcomeOf("${head}Content-Length: $it\r\n\r\n$filled") },
        )
        assertEquals(broken, outcomeOf("${head}Content-Length: 52\r\n\r\n$filled"))
    }

    /** The client took the reset for the end of a response without a length. */
    @Test
    fun `a response without a length that is reset while the request is sent fails the attempt`() {
        val server = ScriptedServer(respondBeforeBody = true) { request ->
            request.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf of")
            Thread.sleep(4 * PAUSE_MILLISECONDS)
            request.reset()
        }
        server.start().use { assertEquals(broken, clients.attempt(it.port, call, "x".repeat(LARGE_BODY_LENGTH))()) }
    }

    @Test
    fun `a response that is not valid HTTP fails the attempt`() {
        val responses = listOf(
            "HTTP/1.1 abc OK\r\n\r\n",
            "this is no response\r\n\r\n",
            "${head}this is no header\r\n\r\n",
            "${head}Content-Length: many\r\n\r\nok",
            "${head}Content-Length: 2\r\nContent-Length: 3\r\n\r\nok",
            "HTTP/1.1 200 OK\r\nX-Start-Identity: not valid\r\nContent-Length: 2\r\n\r\nok",
            "HTTP/1.1 200 OK\r\nContent-Type: none\r\nContent-Length: 2\r\n\r\nok",
            "${chunksHead}size\r\nok\r\n0\r\n\r\n",
        )
        assertEquals(responses.associateWith { broken }, responses.associateWith { outcomeOf(it) })
    }

    @Test
    fun `an interim response is not taken for the answer`() {
        val responses = listOf("HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n")
        val whole = answered(200, "the whole")
        assertEquals(List(2) { whole }, responses.map { outcomeOf("$it${bodyHead}the whole") })
        assertEquals(List(2) { broken }, responses.map { outcomeOf(it) })
        assertEquals(List(2) { broken }, responses.map { outcomeOf("$it${bodyHead}the") })
    }

    @Test
    fun `sound responses are forwarded`() {
        val responses = mapOf(
            "${head}Content-Length: 0\r\n\r\n" to answered(200, ""),
            "HTTP/1.1 204 No Content\r\n\r\n" to answered(204, ""),
            "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok" to answered(200, "ok"),
            "${head}Set-Cookie: a\r\nSet-Cookie: b\r\nVary: a\r\nVary: b\r\nContent-Length: 2\r\n\r\nok" to
                answered(200, "ok"),
            "${head}Via: HTTP/1.1 proxy\r\nX-Other: x\r\nContent-Length: 2\r\n\r\nok" to answered(200, "ok"),
            "${head}Connection: close\r\n\r\nok" to answered(200, "ok"),
            "${chunksHead}1;a=b\r\no\r\n1\r\nk\r\n0\r\n\r\n" to answered(200, "ok"),
            "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno" to answered(404, "no"),
            "HTTP/1.1 304 Not Modified\r\nContent-Length: 9\r\n\r\n" to answered(304, ""),
        )
        assertEquals(responses, responses.mapValues { outcomeOf(it.key) })
    }

    @Test
    fun `a second copy of a response reaches no other attempt`() {
        val server = ScriptedServer { request ->
            request.write("${bodyHead}the whole$second")
            Thread.sleep(PAUSE_MILLISECONDS)
            request.write(second)
        }
        server.start().use {
            val outcomes = List(5) { clients.attempt(server.port, call)() }
            assertEquals(List(5) { answered(200, "the whole") }, outcomes)
            assertEquals(5, server.acceptedConnections)
        }
    }

    private companion object {
        const val PAUSE_MILLISECONDS = 25L

        /** Larger than the buffers of a loopback connection. */
        const val LARGE_BODY_LENGTH = 16_000_000
    }
}
