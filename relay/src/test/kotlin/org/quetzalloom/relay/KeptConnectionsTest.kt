package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import java.net.SocketException
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith
import kotlin.test.assertTrue

/** Connections were closed that callers could still use, and what arrived on them was discarded without an answer. */
class KeptConnectionsTest {
    private val echo: (ScriptedRequest) -> Unit =
        { it.respond("200 OK", mapOf("Id" to it.headers.getValue("id")), "for ${it.headers["id"]}") }

    private fun get(id: String) = "GET /look/1 HTTP/1.1\r\nHost: app\r\nId: $id\r\n\r\n"

    private fun halves(request: String): Pair<String, String> = request.take(HEAD_PART) to request.drop(HEAD_PART)

    @Test
    fun `a connection that was idle when its idle timeout was raised is kept for the new timeout`() {
        TestRelay(echo).use { relay ->
            relay.changeIdleTimeout(version = 2, idleTimeoutMilliseconds = 400)
            relay.connect().use { caller ->
                caller.send(get("a")).readUntil("for a")
                relay.changeIdleTimeout(version = 3, idleTimeoutMilliseconds = 5_000)
                Thread.sleep(700)
                assertTrue(caller.send(get("b")).readUntil("for b").startsWith("HTTP/1.1 200"))
            }
        }
    }

    @Test
    fun `a request whose head is arriving at the end of the idle timeout is answered`() {
        TestRelay(echo).use { relay ->
            relay.changeIdleTimeout(version = 2, idleTimeoutMilliseconds = 400)
            relay.connect().use { caller ->
                caller.send(get("a")).readUntil("for a")
                val (begin, end) = halves(get("b"))
                Thread.sleep(250)
                caller.send(begin)
                Thread.sleep(350)
                assertTrue(caller.send(end).readUntil("for b").startsWith("HTTP/1.1 200"))
            }
        }
    }

    @Test
    fun `a head that began behind another request is bounded by the header timeout, not by the idle timeout`() {
        val slowEcho: (ScriptedRequest) -> Unit = {
            Thread.sleep(200)
            echo(it)
        }
        TestRelay(slowEcho).use { relay ->
            relay.changeIdleTimeout(version = 2, idleTimeoutMilliseconds = 300)
            relay.connect().use { caller ->
                val (begin, end) = halves(get("b"))
                caller.send(get("a"))
                Thread.sleep(50)
                caller.send(begin).readUntil("for a")
                Thread.sleep(500)
                assertTrue(caller.send(end).readUntil("for b").startsWith("HTTP/1.1 200"))
            }
        }
    }

    @Test
    fun `a head that never becomes complete is refused after the header timeout`() {
        TestRelay(echo).use { relay ->
            relay.changeIdleTimeout(version = 2, idleTimeoutMilliseconds = 300)
            relay.connect().use { caller ->
                caller.send(get("a")).readUntil("for a")
                assertTrue(caller.send(halves(get("b")).first).readAll().startsWith("HTTP/1.1 408"))
            }
        }
    }

    @Test
    fun `a request that crosses the close of an idle connection is reset, not read and discarded`() {
        TestRelay(echo).use { relay ->
            relay.changeIdleTimeout(version = 2, idleTimeoutMilliseconds = 200)
            relay.connect().use { caller ->
                caller.send(get("a")).readUntil("for a")
                assertEquals("", caller.readAll())
                caller.send(get("b"))
                Thread.sleep(AFTER_LINGER_MILLISECONDS)
                assertFailsWith<SocketException> {
                    repeat(2) {
                        caller.send(get("b"))
                        Thread.sleep(200)
                    }
                }
                assertEquals(1, relay.servers[0].requests.size)
            }
        }
    }

    @Test
    fun `a caller that took longer than the idle timeout to read a response can use its connection again`() {
        val large: (ScriptedRequest) -> Unit =
            { it.respond("200 OK", mapOf("Id" to it.headers.getValue("id")), "x".repeat(BODY_BYTES)) }
        TestRelay(large).use { relay ->
            relay.changeIdleTimeout(version = 2, idleTimeoutMilliseconds = 300)
            relay.connectWithBuffer(RECEIVE_BUFFER_BYTES).use { caller ->
                caller.send(get("a").repeat(RESPONSES))
                Thread.sleep(800)
                repeat(RESPONSES) {
                    caller.readUntil("\r\n\r\n")
                    caller.readBytes(BODY_BYTES)
                }
                assertTrue(caller.send(get("b")).readUntil("\r\n\r\n").startsWith("HTTP/1.1 200"))
            }
        }
    }

    @Test
    fun `a response that is still being read survives the close of its connection after the idle timeout`() {
        val response: (ScriptedRequest) -> Unit =
            { it.respond("200 OK", mapOf("Id" to it.headers.getValue("id")), "x".repeat(BUFFERED_BYTES)) }
        TestRelay(response).use { relay ->
            relay.changeIdleTimeout(version = 2, idleTimeoutMilliseconds = 300)
            relay.connectWithBuffer(RECEIVE_BUFFER_BYTES).use { caller ->
                caller.send(get("a"))
                Thread.sleep(700)
                caller.send(get("b"))
                Thread.sleep(50)
                caller.readUntil("\r\n\r\n")
                assertEquals(BUFFERED_BYTES, caller.readBytes(BUFFERED_BYTES).size)
            }
        }
    }

    private companion object {
        /** Longer than a connection lingers after the close. */
        const val AFTER_LINGER_MILLISECONDS = 1_300L

        /** Fits the buffers of a loopback connection. */
        const val BUFFERED_BYTES = 400_000

        /** Within the second line of the head. */
        const val HEAD_PART = 27
        const val RECEIVE_BUFFER_BYTES = 16_384

        const val BODY_BYTES = 3_000_000

        /** More in total than the buffers of a loopback connection hold. */
        const val RESPONSES = 4
    }
}
