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

/**
 * A test fixture: a [CallClient] with an event loop of its own, and a scripted server that runs [script].
 *
 * @param respondBeforeBody whether [script] runs before the body of a request is read.
 */
internal class TestCalls(respondBeforeBody: Boolean = false, script: (ScriptedRequest) -> Unit) : AutoCloseable {
    private val group = NioEventLoopGroup(1)
    private val client = CallClient(group)
    val server: ScriptedServer = ScriptedServer(respondBeforeBody, script).start()

    /**
     * Calls [paths] one after the other, each from the listener of the one before. Returns the body of each response,
     * or the problem behind "problem: ".
     */
    fun call(vararg paths: String, bodyBytes: Int = 0): List<String> {
        val outcomes = paths.map { CompletableFuture<String>() }
        group.next().execute { callNext(paths.toList(), outcomes, bodyBytes) }
        return outcomes.map { it.get(2 * TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS) }
    }

    override fun close() {
        server.close()
        group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS)
    }

    private fun callNext(paths: List<String>, outcomes: List<CompletableFuture<String>>, bodyBytes: Int) {
        val path = paths.firstOrNull() ?: return
        val address = Address("127.0.0.1", server.port)
        client.call(address, request(path, bodyBytes), TIMEOUT_MILLISECONDS, purpose = "test") { result ->
            val outcome = result.fold({ it.content().toString(Charsets.UTF_8) }, { "problem: $it" })
            callNext(paths.drop(1), outcomes.drop(1), bodyBytes)
            outcomes.first().complete(outcome)
        }
    }

    private fun request(path: String, bodyBytes: Int): FullHttpRequest {
        val body = Unpooled.wrappedBuffer(ByteArray(bodyBytes))
        return DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path, body).apply {
            headers().set(HttpHeaderNames.CONTENT_LENGTH, bodyBytes)
        }
    }

    companion object {
        const val TIMEOUT_MILLISECONDS = 2_000L

        /** Larger than the buffers of a loopback connection. */
        const val LARGE_BODY_BYTES = 16_000_000

        /** Returns a response with [body] and its length. */
        fun withLength(body: String): String = "HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n$body"

        /** Returns a response with [body] in two chunks and a trailer. */
        fun inChunks(body: String): String {
            val chunks = body.chunked((body.length + 1) / 2).joinToString("") { "${it.length}\r\n$it\r\n" }
            return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\nChecksum: 1\r\n\r\n"
        }
    }
}
