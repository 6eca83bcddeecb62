package org.quetzalloom.standins.scripted

import java.io.IOException
import java.io.InputStream
import java.net.Socket
import java.net.SocketTimeoutException

/**
 * A request that a [ScriptedServer] has read, with the connection to answer it on.
 *
 * @property requestLine the first line of the request, without its line end.
 * @property headers the headers, by name in lower case. Of several with one name the last is kept.
 * @property body the body, as long as `Content-Length` says; empty if the server responds before the body. Chunked
 *   bodies are not supported.
 */
class ScriptedRequest private constructor(
    val requestLine: String,
    val headers: Map<String, String>,
    val body: ByteArray,
    private val socket: Socket,
) {
    /** The value of the header `Content-Length`, or 0 without one. */
    val contentLength: Long get() = headers["content-length"]?.toLong() ?: 0

    /** Writes [text] unchanged, one byte per character (ISO 8859-1). */
    fun write(text: String) {
        socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
        socket.getOutputStream().flush()
    }

    /**
     * Writes a complete response with [headers], `Content-Length` and [body].
     *
     * @param status the status code and the reason phrase.
     */
    fun respond(status: String, headers: Map<String, String>, body: String) {
        val lines = headers.entries.joinToString("") { "${it.key}: ${it.value}\r\n" }
        write("HTTP/1.1 $status\r\n${lines}Content-Length: ${body.length}\r\n\r\n$body")
    }

    /** Writes one chunk of a response with chunked transfer encoding. */
    fun writeChunk(text: String): Unit = write("${text.length.toString(HEXADECIMAL)}\r\n$text\r\n")

    /** Closes the connection normally, with a FIN. */
    fun close(): Unit = socket.close()

    /** Ends the output with a FIN. The server goes on reading. */
    fun endOutput(): Unit = socket.shutdownOutput()

    /** Closes the connection with a reset (RST). */
    fun reset() {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /**
     * Waits until the client closes or resets the connection. Returns whether it does so within [milliseconds].
     *
     * Returns `false` at once if the client sends another byte, which is then lost.
     */
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

        /**
         * Reads the next request from [input]. Returns `null` at the end of the connection.
         *
         * @param withoutBody whether the body is left unread.
         */
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
