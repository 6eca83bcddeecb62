package org.quetzalloom.standins.scripted

import java.io.IOException
import java.io.InputStream
import java.net.Socket
import java.net.SocketTimeoutException

/**
 * One request that a [ScriptedServer] has read, and the socket to answer it on.
 *
 * @property line the request line.
 * @property headers the headers, by name in lower case.
 * @property body the body, by the length in the header.
 */
class ScriptedRequest private constructor(
    val requestLine: String,
    val headers: Map<String, String>,
    val body: ByteArray,
    private val socket: Socket,
) {
    /** The length of the body, as the header says. */
    val contentLength: Long get() = headers["content-length"]?.toLong() ?: 0

    /** Writes [text] as it is. */
    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    /** Writes a whole answer with [headers] and its length. */
    fun respond(status: String, headers: Map<String, String>, body: String) {
        val lines = headers.entries.joinToString("") { "${it.key}: ${it.value}\r\n" }
        write("HTTP/1.1 $status\r\n${lines}Content-Length: ${body.length}\r\n\r\n$body")
    }

    /** Writes one chunk of a body. */
    fun writeChunk(text: String): Unit = write("${text.length.toString(HEXADECIMAL)}\r\n$text\r\n")

    /** Closes the connection in order. */
    fun close(): Unit = socket.close()

    /** Resets the connection. */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Waits until the other side closes; returns whether it does within [milliseconds]. */
    fun awaitClose(milliseconds: Int): Boolean = try {
        socket.soTimeout = milliseconds
        socket.getInputStream().read() < 0
    } catch (_: SocketTimeoutException) {
        false
    } catch (_: IOException) {
        true
    }

    internal companion object {
        private const val HEXADECIMAL = 16

        /** Returns the next request, without its body if [withoutBody], or `null` at the end of the connection. */
        fun readOrNull(input: InputStream, socket: Socket, withoutBody: Boolean): ScriptedRequest? {
            val requestLine = readLineOrNull(input) ?: return null
            val headers = generateSequence { readLineOrNull(input)?.takeIf { it.isNotEmpty() } }
                .associate { it.substringBefore(':').trim().lowercase() to it.substringAfter(':').trim() }
            val body = input.readNBytes(headers["content-length"]?.toInt()?.takeUnless { withoutBody } ?: 0)
            return ScriptedRequest(requestLine, headers, body, socket)
        }

        private fun readLineOrNull(input: InputStream): String? {
            val bytes = generateSequence { input.read().takeIf { it >= 0 && it != '\n'.code } }.toList()
            if (bytes.isEmpty()) return null
            return bytes.map { it.toChar() }.joinToString("").trimEnd('\r')
        }
    }
}
