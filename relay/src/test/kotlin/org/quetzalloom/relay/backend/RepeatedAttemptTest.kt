package org.quetzalloom.relay.backend

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultHttpRequest
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpVersion
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.SendParameters
import org.quetzalloom.core.time.Clock
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.relay.PlainCodec
import org.quetzalloom.relay.caller.CallerExchange
import org.quetzalloom.relay.caller.RequestMemory
import org.quetzalloom.relay.caller.ResponseWriter
import org.quetzalloom.relay.caller.TestCallers
import org.quetzalloom.standins.scripted.ScriptedRequest
import org.quetzalloom.standins.scripted.ScriptedServer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** A late copy of the response to the first attempt of a request was taken for the response to the second one. */
class RepeatedAttemptTest {
    private val group = NioEventLoopGroup(1)
    private val pool = BackendPool(
        group,
        PlainCodec,
        Clock { Timestamp.EPOCH },
        ResponseMemory(Long.MAX_VALUE) { null }
    )
    private val memory = ResponseMemory(limitBytes = 1_000_000) { null }

    private val server: ScriptedServer = ScriptedServer { it.answerTwice() }.start()

    @Volatile
    private var answers = 0
    private var maximumConnections = 20

    /** Answers the first request `a`, and writes a copy of that answer before the next one on the same connection. */
    private fun ScriptedRequest.answerTwice() {
        val repeated = headers["id"] == "a" && answers++ > 0
        if (!repeated || server.acceptedConnections == 1) answer("first")
        if (repeated) answer("second")
    }

    private fun ScriptedRequest.answer(name: String) =
        respond("200 OK", mapOf("Id" to headers.getValue("id"), "Sig" to name, "Keep-Alive" to "timeout=5"), name)

    @AfterTest
    fun close() {
        server.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }

    @Test
    fun `an attempt is not sent on a connection that carried an earlier attempt of the same request`() {
        val exchange = exchange("a")
        assertEquals("first", signature(exchange, attempt = 1))
        assertEquals("second", signature(exchange, attempt = 2))
        assertEquals(2, server.acceptedConnections)
    }

    @Test
    fun `a connection that carried another request is used again`() {
        assertEquals("first", signature(exchange("b"), attempt = 1))
        assertEquals("first", signature(exchange("c"), attempt = 1))
        assertEquals(1, server.acceptedConnections)
    }

    @Test
    fun `an attempt is sent though the only connection that is allowed carried an earlier one`() {
        maximumConnections = 1
        val exchange = exchange("a")
        assertEquals("first", signature(exchange, attempt = 1))
        assertEquals("second", signature(exchange, attempt = 2))
    }

    private fun exchange(id: String): CallerExchange {
        val head = DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/book/1")
        head.headers().add("Host", "app").add("Id", id)
        val request = RelayRequest(callerId = id, host = "app", path = "/book/1")
        return CallerExchange(ExchangeId(1), request, head, Unpooled.EMPTY_BUFFER, unusedWriter(head))
    }

    private fun unusedWriter(head: HttpRequest): ResponseWriter {
        val connection = TestCallers.connection(RequestMemory(limitBytes = 0))
        return ResponseWriter(connection, EmbeddedChannel(), head)
    }

    /** Sends an attempt, and returns the signature of its response once the connection is back in the pool. */
    private fun signature(exchange: CallerExchange, attempt: Int): String? {
        val response = CompletableFuture<HttpResponse>()
        val call = BackendCall(exchange, send(attempt), PlainCodec, Listener(response), memory, group.next())
        group.next().execute { pool.send(call) }
        val head = response.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        // The decision to drop the response follows the return of the connection.
        group.next().submit { call.abandon() }.get(TIMEOUT_SECONDS, TimeUnit.SECONDS)
        return head.headers().get("Sig")
    }

    private fun send(attempt: Int) = RelayEffect.Send(ExchangeId(1), attempt, parameters())

    private fun parameters() = SendParameters(
        server = BackendServerId("s"),
        address = "127.0.0.1:${server.port}",
        maximumConnections = maximumConnections,
        timeLeftMilliseconds = 2_000,
        workspace = null,
        model = null,
        lastEventId = null,
        streaming = false,
        resumable = false,
        startTimeoutMilliseconds = null,
        idleTimeoutMilliseconds = null,
        requiresLiveConnection = false,
    )

    private class Listener(private val response: CompletableFuture<HttpResponse>) : BackendCallListener {
        override fun responseStarted(call: BackendCall, head: HttpResponse) {
            response.complete(head)
        }

        override fun attemptFailed(
            call: BackendCall,
            failure: AttemptFailure,
            lastEventId: String?,
            detail: String?,
        ) {
            response.completeExceptionally(IllegalStateException("$failure $detail"))
        }

        override fun attemptConnected(call: BackendCall) = Unit

        override fun requestWritten(call: BackendCall) = Unit

        override fun responseProgressed(call: BackendCall, events: Int) = Unit

        override fun responseForwarded(call: BackendCall, events: Int) = Unit

        override fun attemptStalled(call: BackendCall, lastEventId: String?) = Unit
    }

    private companion object {
        const val TIMEOUT_SECONDS = 5L
    }
}
