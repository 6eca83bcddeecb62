package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.relay.http.Address
import org.quetzalloom.standins.port.FreePorts
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
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

    /** Answers each request with 200, and keeps its path. */
    private class RecordingHandler : RequestHandler {
        val paths = CopyOnWriteArrayList<String>()

        override fun onRequest(head: HttpRequest, body: ByteBuf, response: ResponseWriter): CallerExchange? {
            paths += head.uri()
            response.writeWhole(HttpResponseStatus.OK, DefaultHttpHeaders(), body)
            return null
        }

        override fun onCallerDisconnected(exchange: CallerExchange) = Unit

        override fun refuse(response: ResponseWriter, kind: ErrorKind, detail: String, retryAfterMilliseconds: Long?) =
            response.writeWhole(HttpResponseStatus.valueOf(kind.status), DefaultHttpHeaders(), Unpooled.EMPTY_BUFFER)

        override fun reportProblem(name: String, cause: Throwable) = Unit
    }

    private fun Socket.send(path: String) {
        val request = "POST $path HTTP/1.1\r\nHost: app\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
        getOutputStream().write(request.toByteArray())
    }

    @Test
    fun `a request whose caller has closed its connection behind it is not handled`() {
        val handler = RecordingHandler()
        val server = CallerServer(handler, RequestMemory(limitBytes = Long.MAX_VALUE))
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
