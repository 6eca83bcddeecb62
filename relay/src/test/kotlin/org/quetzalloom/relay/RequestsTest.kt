package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests that requests reach a backend server unchanged, or not at all. */
class RequestsTest {
    private val echo: (ScriptedRequest) -> Unit =
        { it.respond("200 OK", mapOf("Id" to it.headers.getValue("id")), it.body.decodeToString()) }

    private fun status(response: String): String = response.lineSequence().first().split(' ')[1]

    @Test
    fun `path, query and a chunked body are forwarded byte for byte`() {
        TestRelay(echo).use { relay ->
            val head = "POST /book/a%2Fb?x=1&y=%20 HTTP/1.1\r\nHost: app\r\nId: a\r\nTransfer-Encoding: chunked\r\n"
            val response = relay.exchange("${head}Connection: close\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            assertEquals("abcde", response.substringAfter("\r\n\r\n"))
            val request = relay.servers[0].requests.single()
            assertEquals("POST /book/a%2Fb?x=1&y=%20 HTTP/1.1", request.requestLine)
            assertEquals("5", request.headers["content-length"])
            assertEquals(null, request.headers["transfer-encoding"])
        }
    }

    @Test
    fun `a caller that connects while the relay starts is served once it is ready`() {
        TestRelay(echo, configured = false).use { relay ->
            relay.connect().use { caller ->
                caller.send("POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nContent-Length: 2\r\n\r\nb1")
                relay.configure()
                assertTrue(caller.readUntil("b1").startsWith("HTTP/1.1 200"))
            }
        }
    }

    @Test
    fun `one connection carries many requests, one after the other`() {
        // Without this header, a connection is taken to be safe for a request that may run once only for 200 ms.
        val keepAlive = "Keep-Alive" to "timeout=60"
        val echoAlive: (ScriptedRequest) -> Unit =
            { it.respond("200 OK", mapOf("Id" to it.headers.getValue("id"), keepAlive), it.body.decodeToString()) }
        TestRelay(echoAlive).use { relay ->
            relay.connect().use { caller ->
                repeat(3) { number ->
                    val head = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a$number\r\nContent-Length: 2\r\n\r\n"
                    assertTrue(caller.send("${head}b$number").readUntil("b$number").startsWith("HTTP/1.1 200"))
                }
            }
            assertEquals(1, relay.servers[0].acceptedConnections)
        }
    }

    @Test
    fun `malformed requests are answered 400 and never forwarded`() {
        val post = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\n"
        val malformedRequests = listOf(
            "${post}Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            "${post}Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
            "${post}Transfer-Encoding: gzip\r\n\r\n",
            "GET /book/1 HTTP/1.1\r\nHost: app\r\nHost: other\r\nId: a\r\n\r\n",
            "GET /book/1 HTTP/1.1\r\nId: a\r\n\r\n",
            "GET http://app/book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\n\r\n",
            "GET /book/1 HTTP/1.1\r\nHost: app\r\nId : a\r\n\r\n",
            "GET /book/1 HTTP/1.1\r\nHost: app\r\n\r\n",
            "nonsense\r\n\r\n",
        )
        TestRelay(echo).use { relay ->
            malformedRequests.forEach { request ->
                val response = relay.connect().use { it.send(request).readUntil("\r\n\r\n") }
                assertEquals("400", status(response), request)
            }
            assertEquals(0, relay.servers[0].requests.size)
        }
    }

    @Test
    fun `headers and bodies over the limits are rejected`() {
        TestRelay(echo).use { relay ->
            val long = "GET /look/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nX: ${"x".repeat(3_000)}\r\n\r\n"
            assertEquals("431", status(relay.exchange(long)))
            val big = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nContent-Length: 20000000\r\n\r\n"
            assertEquals("413", status(relay.exchange(big)))
            assertEquals(0, relay.servers[0].requests.size)
        }
    }

    @Test
    fun `a header that does not arrive in time is answered 408, and its connection closed`() {
        TestRelay(echo).use { relay ->
            relay.connect().use { caller ->
                val validRequest = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
                assertTrue(caller.send(validRequest).readUntil("ok").contains("HTTP/1.1 200"))
                Thread.sleep(1_200)
                assertEquals("408", status(caller.send("POST /book/1 HTTP/1.1\r\nHost: a").readUntil("in time")))
            }
            assertEquals(1, relay.servers[0].requests.size)
        }
    }

    @Test
    fun `a malformed pipelined request does not cut off the response before it`() {
        val slow: (ScriptedRequest) -> Unit = {
            Thread.sleep(300)
            echo(it)
        }
        TestRelay(slow).use { relay ->
            val validRequest = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
            relay.connect().use { caller ->
                assertTrue(caller.send(validRequest + "nonsense\r\n\r\n").readUntil("ok").contains("HTTP/1.1 200"))
            }
        }
    }

    @Test
    fun `a request without a route is answered 404 on the same connection`() {
        TestRelay(echo).use { relay ->
            relay.connect().use { caller ->
                val unknown = "GET /nowhere HTTP/1.1\r\nHost: app\r\nId: a\r\n\r\n"
                assertEquals("404", status(caller.send(unknown).readUntil("unknown_target")))
                val validRequest = "POST /book/1 HTTP/1.1\r\nHost: app\r\nId: a\r\nContent-Length: 2\r\n\r\nok"
                assertTrue(caller.send(validRequest).readUntil("ok").contains("HTTP/1.1 200"))
            }
        }
    }
}
