package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import org.quetzalloom.standins.scripted.ScriptedServer
import java.net.ConnectException
import java.net.Socket
import java.net.SocketException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Requests at a router that reaches no backend server are answered through another router. */
class HandedOverRequestsTest {
    private val respond: (ScriptedRequest) -> Unit =
        { it.respond("200 OK", mapOf("Id" to it.headers.getValue("id"), "Sig" to "s"), "mine") }

    private fun ScriptedRequest.startStream() = write(
        "HTTP/1.1 200 OK\r\nId: a\r\nSig: s\r\nContent-Type: text/event-stream\r\n" +
            "Transfer-Encoding: chunked\r\n\r\n",
    )

    /**
     * Closes this server, whose last call to accept a connection may still succeed after that. A connection that is
     * made while the server closes is reset.
     */
    private fun ScriptedServer.stopListening() {
        close()
        val refused = (1..ATTEMPTS).any {
            try {
                Socket("127.0.0.1", port).close()
                false
            } catch (problem: SocketException) {
                problem is ConnectException
            }
        }
        assertTrue(refused, "the server still listens")
    }

    /** Calls [test] with a router whose only server is gone, and another one that reaches a server with [script]. */
    private fun withCutOffRouter(
        script: (ScriptedRequest) -> Unit,
        test: (cutOff: TestRelay, other: TestRelay) -> Unit,
    ) {
        TestRelay(respond).use { cutOff ->
            TestRelay(script).use { other ->
                cutOff.servers.single().stopListening()
                cutOff.know(other)
                test(cutOff, other)
            }
        }
    }

    @Test
    fun `a command runs once through another router`(): Unit = withCutOffRouter(respond) { cutOff, other ->
        val head = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nContent-Length: 5\r\nConnection: close\r\n\r\n"
        val response = cutOff.exchange(head + "batch")
        assertTrue(response.startsWith("HTTP/1.1 200 OK\r\n") && response.endsWith("mine"), response)
        val run = other.servers.single().requests.single()
        assertEquals("batch", run.body.decodeToString())
        assertTrue("earlier-runs" !in run.headers)
    }

    @Test
    fun `a stream is forwarded through another router event by event`(): Unit = withCutOffRouter(
        script = {
            it.startStream()
            it.writeChunk("id: 1\ndata: one\n\n")
            it.awaitClose(milliseconds = 300)
            it.writeChunk("id: 2\ndata: two\n\n")
            it.write("0\r\n\r\n")
        },
    ) { cutOff, _ ->
        cutOff.connect().use { caller ->
            caller.send("POST /draft/1 HTTP/1.1\r\nHost: app\r\nId: a\r\n\r\n")
            caller.readUntil("data: one\n\n")
            caller.readUntil("data: two\n\n\r\n0\r\n\r\n")
        }
    }

    @Test
    fun `an answer that another router does not finish does not look complete`(): Unit = withCutOffRouter(
        script = {
            it.startStream()
            it.writeChunk("id: 1\ndata: one\n\n")
        },
    ) { cutOff, _ ->
        val response = cutOff.exchange("POST /note/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nConnection: close\r\n\r\n")
        assertTrue("data: one" in response && !response.endsWith("0\r\n\r\n"), response)
    }

    private companion object {
        const val ATTEMPTS = 100
    }
}
