package org.quetzalloom.relay

import org.quetzalloom.standins.scripted.ScriptedRequest
import kotlin.test.Test
import kotlin.test.assertTrue

/** After a change of the configuration, connections were closed that callers could still use by its limits. */
class KeptConnectionsTest {
    private val echo: (ScriptedRequest) -> Unit =
        { it.respond("200 OK", mapOf("Id" to it.headers.getValue("id")), "for ${it.headers["id"]}") }

    private fun get(id: String) = "GET /look/1 HTTP/1.1\r\nHost: app\r\nId: $id\r\n\r\n"

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
}
