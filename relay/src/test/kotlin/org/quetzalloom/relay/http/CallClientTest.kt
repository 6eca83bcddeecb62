package org.quetzalloom.relay.http

import com.github.michaelbull.result.fold
import io.netty.buffer.Unpooled
import io.netty.channel.nio.NioEventLoopGroup
import io.netty.handler.codec.http.DefaultFullHttpRequest
import io.netty.handler.codec.http.FullHttpRequest
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpVersion
import org.quetzalloom.standins.scripted.ScriptedRequest
import org.quetzalloom.standins.scripted.ScriptedServer
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.test.AfterTest
import kotlin.test.Test
import kotlin.test.assertEquals

/** The first half of a response to a call passed for the whole when its connection was reset during the request. */
class CallClientTest {
    private val group = NioEventLoopGroup(1)
    private val client = CallClient(group)

    @AfterTest
    fun stop() {
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun request(): FullHttpRequest {
        val body = Unpooled.wrappedBuffer(ByteArray(BODY_BYTES))
        return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/append", body).apply {
            headers().set(HttpHeaderNames.CONTENT_LENGTH, BODY_BYTES)
        }
    }

    /** Returns the body of the response of a server that runs [script], or the problem. */
    private fun call(respondBeforeBody: Boolean, script: (ScriptedRequest) -> Unit): String =
        ScriptedServer(respondBeforeBody, script).use { server ->
            server.start()
            val outcome = CompletableFuture<String>()
            group.next().execute {
                client.call(Address("127.0.0.1", server.port), request(), TIMEOUT_MILLISECONDS) { result ->
                    outcome.complete(result.fold({ it.content().toString(Charsets.UTF_8) }, { "problem: $it" }))
                }
            }
            outcome.get(2 * TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
        }

    @Test
    fun `a response without a length that is reset while the request is being sent is a failure`() {
        val outcome = call(respondBeforeBody = true) {
            it.write("HTTP/1.1 200 OK\r\n\r\nhalf of")
            Thread.sleep(BEFORE_RESET_MILLISECONDS)
            it.reset()
        }
        assertEquals("problem: the request could not be sent", outcome.substringBefore(": java"))
    }

    @Test
    fun `a response without a length that ends in order is whole`() {
        val outcome = call(respondBeforeBody = false) {
            it.write("HTTP/1.1 200 OK\r\n\r\nall of it")
            it.close()
        }
        assertEquals("all of it", outcome)
    }

    private companion object {
        /** Larger than the buffers of a loopback connection. */
        const val BODY_BYTES = 16_000_000
        const val BEFORE_RESET_MILLISECONDS = 100L
        const val TIMEOUT_MILLISECONDS = 2_000L
    }
}
