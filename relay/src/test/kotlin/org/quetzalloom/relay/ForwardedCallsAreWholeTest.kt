package org.quetzalloom.relay

import io.netty.channel.nio.NioEventLoopGroup
import org.quetzalloom.relay.head.MessageMemory
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.CallClient
import org.quetzalloom.relay.http.CallForwarder
import org.quetzalloom.relay.http.Forwarding
import org.quetzalloom.standins.port.FreePorts
import org.quetzalloom.standins.scripted.ScriptedRequest
import org.quetzalloom.standins.scripted.ScriptedServer
import java.net.Socket
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** A router forwarded the first part of a call, or of the response to one, as if it were the whole. */
class ForwardedCallsAreWholeTest {
    private val group = NioEventLoopGroup(1)
    private var respond: (ScriptedRequest) -> Unit = { it.respond("200 OK", emptyMap(), "records") }
    private val store = ScriptedServer { respond(it) }.start()
    private val address = Address("127.0.0.1", FreePorts.next())

    init {
        val forwarding = Forwarding(Address("127.0.0.1", store.port), paths = setOf("/append", "/owners"))
        CallForwarder(group, CallClient(group), forwarding, MessageMemory(limitBytes = Long.MAX_VALUE)).listen(address)
    }

    @AfterTest
    fun close() {
        store.close()
        group.shutdownGracefully()
    }

    /** Sends [request], ends the output, and returns all that the router sends until it closes the connection. */
    private fun exchange(request: String): String = Socket(address.host, address.port).use { socket ->
        socket.soTimeout = TIMEOUT_MILLISECONDS
        socket.getOutputStream().write(request.toByteArray(Charsets.ISO_8859_1))
        socket.shutdownOutput()
        socket.getInputStream().readBytes().toString(Charsets.ISO_8859_1)
    }

    /** Returns the response to [request] on a connection that stays open. */
    private fun call(request: String): String =
        TestRelay.CallerSocket(Socket(address.host, address.port)).send(request).readUntil("\r\n\r\n")

    @Test
    fun `a truncated request is not forwarded`() {
        listOf(WITH_LENGTH, IN_CHUNKS).forEach { request ->
            request.indices.forEach { exchange(request.take(it)) }
        }
        assertEquals(emptyList(), store.requests.map { it.requestLine + it.body.decodeToString() })
    }

    @Test
    fun `a malformed request is rejected and not forwarded`() {
        val malformed = listOf(
            "POST /append HTTP/1.1\r\nContent-Length: 7, 8\r\n\r\nrecords",
            "POST /append HTTP/1.1\r\n: 1\r\nContent-Length: 7\r\n\r\nrecords",
            "POST /append HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nseven\r\nrecords\r\n0\r\n\r\n",
        )
        malformed.forEach { assertTrue(call(it).startsWith("HTTP/1.1 400 "), it) }
        assertEquals(0, store.requests.size)
    }

    @Test
    fun `whole requests are forwarded with their bodies`() {
        listOf(WITH_LENGTH, IN_CHUNKS).forEach { assertTrue(call(it).startsWith("HTTP/1.1 200 "), it) }
        assertEquals(List(2) { "records" }, store.requests.map { it.body.decodeToString() })
    }

    @Test
    fun `a truncated response is not forwarded`() {
        val response = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nrecords"
        response.indices.forEach { length ->
            respond = {
                it.write(response.take(length))
                it.close()
            }
            val forwarded = call("GET /owners HTTP/1.1\r\nHost: store\r\n\r\n")
            assertTrue(forwarded.startsWith("HTTP/1.1 502 "), "after $length bytes: $forwarded")
        }
    }

    /** The call of one router got a late copy of the response to another router. */
    @Test
    fun `a late copy of a response is not forwarded to the next caller`() {
        respond = { request ->
            val copies = if (store.requests.size == 2 && store.acceptedConnections == 1) 1 else 0
            repeat(copies) { request.respond("200 OK", emptyMap(), "first") }
            request.respond("200 OK", emptyMap(), if (store.requests.size == 1) "first" else "second")
        }
        listOf("first", "second").forEach { body ->
            val caller = TestRelay.CallerSocket(Socket(address.host, address.port))
            caller.use { it.send("GET /owners HTTP/1.1\r\nHost: store\r\n\r\n").readUntil(body) }
        }
    }

    private companion object {
        const val TIMEOUT_MILLISECONDS = 2_000
        const val WITH_LENGTH = "POST /append HTTP/1.1\r\nHost: store\r\nContent-Length: 7\r\n\r\nrecords"
        const val IN_CHUNKS = "POST /append HTTP/1.1\r\nHost: store\r\nTransfer-Encoding: chunked\r\n\r\n" +
            "3\r\nrec\r\n4\r\nords\r\n0\r\nChecksum: 1\r\n\r\n"
    }
}
