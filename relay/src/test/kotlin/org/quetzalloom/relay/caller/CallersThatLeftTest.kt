package org.quetzalloom.relay.caller

import io.netty.channel.nio.NioEventLoopGroup
import org.quetzalloom.relay.http.Address
import org.quetzalloom.standins.port.FreePorts
import java.net.Socket
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** Requests whose callers had left before the router read them were sent to backend servers. */
class CallersThatLeftTest {
    private val group = NioEventLoopGroup(1)

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun Socket.send(path: String) {
        val request = "POST $path HTTP/1.1\r\nHost: app\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
        getOutputStream().write(request.toByteArray())
    }

    @Test
    fun `a request whose caller has closed its connection behind it is not handled`() {
        val handler = RecordingHandler()
        val server = TestCallers.server(handler)
        val address = Address("127.0.0.1", FreePorts.next())
        server.attach(group, CallerSocket.bind(address))
        repeat(CALLERS) { caller -> Socket(address.host, address.port).use { it.send("/left/$caller") } }
        Socket(address.host, address.port).use { patient ->
            patient.send("/patient")
            group.next().submit { server.accept() }.sync()
            assertEquals("HTTP/1.1 200 OK", patient.getInputStream().bufferedReader().readLine())
        }
        assertEquals(listOf("/patient"), handler.paths)
    }

    private companion object {
        const val CALLERS = 20
    }
}
