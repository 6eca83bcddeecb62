package org.quetzalloom.relay

import io.netty.channel.nio.NioEventLoopGroup
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.quetzalloom.relay.head.MessageMemory
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.CallClient
import org.quetzalloom.relay.http.CallForwarder
import org.quetzalloom.relay.http.Forwarding
import org.quetzalloom.standins.port.FreePorts
import org.quetzalloom.standins.scripted.ScriptedServer
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** What the store says of its state in a header was lost to routers that call it through others. */
class ForwardedHeadersTest {
    private val group = NioEventLoopGroup(1)
    private val responses = AtomicInteger()
    private val store = ScriptedServer {
        val number = responses.incrementAndGet()
        val status = if ("gone" in it.requestLine) "410 Gone" else "200 OK"
        it.respond(status, mapOf("Era" to "$number", "Other" to "1"), "response $number!")
    }.start()
    private val address = Address("127.0.0.1", FreePorts.next())

    init {
        val forwarding = Forwarding(
            target = Address("127.0.0.1", store.port),
            paths = setOf("/read", "/owners"),
            sharedPaths = setOf("/read"),
            responseHeaders = setOf("Era"),
        )
        CallForwarder(group, CallClient(group), forwarding, MessageMemory(limitBytes = Long.MAX_VALUE)).listen(address)
    }

    @AfterEach
    fun close() {
        store.close()
        group.shutdownGracefully()
    }

    private fun call(uri: String): TestRelay.CallerSocket =
        TestRelay.CallerSocket(Socket(address.host, address.port)).send("GET $uri HTTP/1.1\r\nHost: store\r\n\r\n")

    /** Returns the lines of the head of the response to [uri] that have the values of the store's headers. */
    private fun headers(uri: String): List<String> = call(uri).readUntil("!").lines()
        .filter { it.startsWith("era:", ignoreCase = true) || it.startsWith("other:", ignoreCase = true) }
        .map { it.lowercase() }

    @Test
    fun `only the named headers of a response are passed on, whatever its status`() {
        assertEquals(listOf("era: 1"), headers("/owners"))
        assertEquals(listOf("era: 2"), headers("/owners?gone"))
        val generated = call("/unknown").readUntil("not forwarded").lowercase()
        assertTrue("era" !in generated, generated)
    }

    /** A response that is shared has the header of the call that it answers. */
    @Test
    fun `each caller gets the header that came with its response`() {
        List(5) { call("/read?from=7") }.forEach {
            val response = it.readUntil("!").lowercase()
            val era = response.lines().single { line -> line.startsWith("era:") }.substringAfter(": ")
            assertTrue(response.endsWith("response $era!"), response)
        }
    }
}
