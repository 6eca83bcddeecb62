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
import java.util.concurrent.CountDownLatch
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Equal reads that wait at a router share one call to the store; nothing else is shared. */
class CallForwarderTest {
    private val group = NioEventLoopGroup(1)
    private val mayRespond = CountDownLatch(1)
    private val store = ScriptedServer {
        mayRespond.await()
        it.respond("200 OK", emptyMap(), "records of ${it.requestLine.split(' ')[1]}")
    }.start()
    private val address = Address("127.0.0.1", FreePorts.next())

    init {
        val target = Address("127.0.0.1", store.port)
        val forwarding = Forwarding(target, paths = setOf("/read", "/owners"), sharedPaths = setOf("/read"))
        CallForwarder(group, CallClient(group), forwarding, MessageMemory(limitBytes = Long.MAX_VALUE)).listen(address)
    }

    @AfterEach
    fun close() {
        store.close()
        group.shutdownGracefully()
    }

    private fun call(uri: String): TestRelay.CallerSocket =
        TestRelay.CallerSocket(Socket(address.host, address.port)).send("GET $uri HTTP/1.1\r\nHost: store\r\n\r\n")

    /**
     * Returns once the calls made before have been read: they were accepted before the first call here, and the event
     * loop has read all that was ready before it reads the second.
     */
    private fun awaitRead() {
        repeat(2) { call("/unknown").readUntil("not forwarded") }
    }

    @Test
    fun `equal reads share a call, and each caller gets the response`() {
        val callers = List(5) { call("/read?from=7") } + call("/read?from=8")
        awaitRead()
        mayRespond.countDown()
        callers.take(5).forEach { assertTrue("records of /read?from=7" in it.readUntil("from=7")) }
        assertTrue("records of /read?from=8" in callers.last().readUntil("from=8"))
        assertEquals(2, store.requests.size)
        assertTrue("records" in call("/read?from=7").readUntil("from=7"))
        assertEquals(3, store.requests.size)
    }

    @Test
    fun `calls on other paths are not shared`() {
        val callers = List(3) { call("/owners") }
        mayRespond.countDown()
        callers.forEach { assertTrue("records of /owners" in it.readUntil("/owners")) }
        assertEquals(3, store.requests.size)
    }
}
