package org.quetzalloom.relay.http

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpObject
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.LastHttpContent
import io.netty.util.ReferenceCountUtil
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/** Tests which responses are taken for sound, whatever their status. */
class ResponseDecoderTest {
    private data class Outcome(val valid: Boolean, val complete: Boolean)

    private val sound = Outcome(valid = true, complete = true)

    private fun decode(vararg inputs: String, method: HttpMethod = HttpMethod.GET): Outcome {
        val decoder = ResponseDecoder(singleHeaders = setOf("Id")).also { it.method = method }
        val channel = EmbeddedChannel(decoder)
        inputs.forEach { channel.writeInbound(Unpooled.copiedBuffer(it, Charsets.ISO_8859_1)) }
        channel.finish()
        val messages = generateSequence { channel.readInbound<HttpObject>() }.toList()
        messages.forEach { ReferenceCountUtil.release(it) }
        return Outcome(
            valid = messages.none { it.decoderResult().isFailure },
            complete = messages.any { it is HttpResponse } && messages.any { it is LastHttpContent },
        )
    }

    private fun assertInvalid(vararg inputs: String) {
        assertEquals(emptyList(), inputs.filter { decode(it).valid })
    }

    private fun assertSound(vararg inputs: String, method: HttpMethod = HttpMethod.GET) {
        assertEquals(emptyList(), inputs.filter { decode(it, method = method) != sound })
    }

    private fun withHeaders(vararg lines: String): String =
        "HTTP/1.1 200 OK\r\n${lines.joinToString("") { "$it\r\n" }}Content-Length: 2\r\n\r\nok"

    private fun chunked(body: String): String = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n$body"

    @Test
    fun `a status line with another one in it is invalid`() = assertInvalid(
        "HTTP/1.1 200 OHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 200 OK\rHTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
    )

    @Test
    fun `another protocol or version is invalid`() = assertInvalid(
        "HTTP/2.0 200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.2 200 OK\r\nContent-Length: 0\r\n\r\n",
        "RTSP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n",
    )

    @Test
    fun `a status outside 100 to 599 or of another form is invalid`() = assertInvalid(
        "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 099 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 600 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 999 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 +200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 -200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1\t200 OK\r\nContent-Length: 0\r\n\r\n",
        " HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
        "\u0000HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
    )

    @Test
    fun `a switch to another protocol is invalid`() = assertInvalid(
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\nConnection: upgrade\r\n\r\n",
    )

    @Test
    fun `a header whose name is no token is invalid`() {
        assertInvalid(
            withHeaders("No te: a"),
            withHeaders("Note : a"),
            withHeaders("Note\t: a"),
            withHeaders("No\u0001te: a"),
            withHeaders("No\u0000te: a"),
            withHeaders("No\rte: a"),
            withHeaders("No\u007fte: a"),
            withHeaders("No\u00e9te: a"),
            withHeaders("No\"te: a"),
            withHeaders("Content-Length x: 1"),
            withHeaders("Transfer-Encoding x: chunked"),
            "HTTP/1.1 200 OK\r\n Note: a\r\nContent-Length: 2\r\n\r\nok",
        )
        val split = withHeaders("A: 1", "No te: a")
        assertEquals(emptyList(), split.indices.filter { cut -> decode(split.take(cut), split.drop(cut)).valid })
        assertSound(withHeaders("!#$%&'*+-.^_`|~09azAZ: a"))
    }

    @Test
    fun `a head with a line that is no header is invalid`() {
        assertInvalid(withHeaders("this is no header"), withHeaders("A: 1", "word"), withHeaders("a b", "A: 1"))
        assertSound(withHeaders("A: 1", " continued"), withHeaders("A:"), "\r\n" + withHeaders("A: 1"))
        val split = withHeaders("A: 1", "this is no header")
        assertEquals(emptyList(), split.indices.filter { cut -> decode(split.take(cut), split.drop(cut)).valid })
    }

    @Test
    fun `a header with a status line or control characters in it is invalid`() = assertInvalid(
        withHeaders("Date: todayHTTP/1.1 500 Internal Server Error", "Id: a"),
        withHeaders("Date: today\rHTTP/1.1 500 Internal Server Error", "Id: a"),
        withHeaders("DaHTTP/1.1 500 Internal Server Error", "Id: a"),
        withHeaders("HTTP/1.1 500 Internal Server Error", "Id: a"),
        withHeaders("HTTP/1.1 500: a"),
        withHeaders("Note: a\u0000b"),
        withHeaders("Note: a\rb"),
        withHeaders("Note: a\u0007b"),
        withHeaders("Note: a\u007fb"),
        withHeaders("No(te: a"),
        withHeaders(": a"),
    )

    @Test
    fun `a header that a response has once is invalid if it comes twice`() = assertInvalid(
        withHeaders("Id: a", "Id: b"),
        withHeaders("Id: a", "id: a"),
        withHeaders("Content-Length: 2"),
        withHeaders("Date: Sat, 05 Dec 2026 19:00:00 GMT", "Date: Sat, 05 Dec 2026 19:00:01 GMT"),
        withHeaders("Content-Type: text/plain", "Content-Type: text/html"),
        withHeaders("Content-Range: bytes 0-1/4", "Content-Range: bytes 2-3/4"),
        withHeaders("Location: /a", "Location: /b"),
        withHeaders("ETag: \"a\"", "ETag: \"b\""),
    )

    @Test
    fun `chunks without their exact framing are invalid`() = assertInvalid(
        chunked("2\r\nokHTTP/1.1 500 Internal Server Error\r\n\r\n"),
        chunked("2\r\nok\n0\r\n\r\n"),
        chunked("2\r\nokx\r\n0\r\n\r\n"),
        chunked("2\rHTTP/1.1 500 Internal Server Error\r\nok\r\n0\r\n\r\n"),
        chunked("2 HTTP/1.1 500 Internal Server Error\r\nok\r\n0\r\n\r\n"),
        chunked("0\rHTTP/1.1 500 Internal Server Error\r\n\r\n"),
        chunked("-0\r\n\r\n"),
        chunked("\r\n\r\n"),
    )

    @Test
    fun `trailers that look like a head are invalid`() = assertInvalid(
        chunked("0\r\nHTTP/1.1 500 Internal Server Error\r\nId: a\r\n\r\n"),
        chunked("0\r\nNote: aHTTP/1.1 500 Internal Server Error\r\nSig: a\r\n\r\n"),
        chunked("0\r\n\rHTTP/1.1 500 Internal Server Error\r\nSig: a\r\n\r\n"),
        chunked("0\r\nId: a\r\n\r\n"),
    )

    @Test
    fun `unusual but sound heads are valid`() = assertSound(
        withHeaders("Set-Cookie: a=1", "Set-Cookie: b=2", "Vary: A", "Vary: B", "Via: 1.1 x", "Via: HTTP/1.1 y"),
        withHeaders("Date: today", "Date: today"),
        withHeaders("Warning: 199 - \"a\"", "Warning: 199 - \"b\""),
        withHeaders("Cache-Control: private", "Cache-Control: max-age=1"),
        withHeaders("X-Extra: anything", "Empty:", "X-Text: caf\u00e9, \u00a7", "X-Tab: a\tb", "X-Colon: a: b: c"),
        withHeaders("Server: HTTP/1.1 server", "Server: b", "Link: <http://a/HTTP/1.1>", "Folded: a", " b"),
        "HTTP/1.1 200 \r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 Tr\u00e8s bien\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
        "HTTP/1.1 599 Whatever this is\r\nContent-Length: 0\r\n\r\n",
        "\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    )

    @Test
    fun `sound responses with and without a body are valid and complete`() {
        assertSound(
            "HTTP/1.1 200 OK\r\n\r\nno length",
            "HTTP/1.1 204 No Content\r\nId: a\r\n\r\n",
            "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\nContent-Length: 8\r\n\r\n",
            "HTTP/1.1 100 Continue\r\n\r\n" + withHeaders("Id: a"),
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\nId: a\r\n\r\n" + withHeaders("Id: a"),
            chunked("2\r\nok\r\n0\r\n\r\n"),
            chunked("2;name=value\r\nok\r\n0\r\n\r\n"),
            chunked("2;name=\"a value\"\r\nok\r\n00\r\nDigest: a\r\n\r\n"),
            chunked("2\r\nok\r\n0\r\nETag: \"a\"\r\nExpires: today\r\n\r\n"),
            chunked("A\r\n0123456789\r\n0a\r\n0123456789\r\n0\r\n\r\n"),
        )
        assertSound("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n", method = HttpMethod.HEAD)
    }

    @Test
    fun `a late copy behind a response leaves it valid`() {
        val copy = withHeaders("Id: a")
        assertTrue(decode(copy + copy).valid)
    }
}
