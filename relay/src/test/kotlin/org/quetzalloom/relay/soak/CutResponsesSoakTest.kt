package org.quetzalloom.relay.soak

import org.quetzalloom.relay.TestRelay
import java.io.InputStream
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Callers took parts of several responses for one whole response.
 *
 * `-Dseeds=N` plays N seeds instead of the usual few, and `-Dseed=N` the seed N alone.
 */
class CutResponsesSoakTest {
    private val responses = ConcurrentHashMap<String, ServerResponse>()
    private val whole = AtomicInteger()
    private val violations = ConcurrentLinkedQueue<String>()

    @Test
    fun `what a caller takes for whole is one response to its request`() {
        val only = System.getProperty("seed")?.toLong()
        val seeds = only?.let { listOf(it) } ?: (1L..(System.getProperty("seeds")?.toLong() ?: SEEDS)).toList()
        seeds.forEach { play(it) }
        assertEquals("", violations.joinToString("\n\n"))
        val required = (seeds.size * CALLERS * REQUESTS * FaultyServer.SOUND_SHARE).toInt()
        assertTrue(whole.get() >= required, "${whole.get()} responses of servers arrived whole instead of $required")
    }

    private fun play(seed: Long) {
        responses.clear()
        val scripts = List(SERVERS) { FaultyServer("s$it", seed, responses) }
        TestRelay(*scripts.toTypedArray()).use { relay ->
            List(CALLERS) { caller -> thread { call(relay, seed, caller) } }.forEach { it.join() }
        }
    }

    private fun call(relay: TestRelay, seed: Long, caller: Int) {
        val random = Random(seed * SERVERS + caller)
        var connection: TestRelay.CallerSocket? = null
        repeat(REQUESTS) { number ->
            val id = "r$caller-$number"
            val path = listOf("/look/1", "/book/1", "/draft/1").random(random)
            val method = if (path == "/look/1") "GET" else "POST"
            val open = connection ?: relay.connect()
            val response = open.exchange("$method $path HTTP/1.1\r\nHost: app\r\nId: $id\r\n\r\n")
            connection = if (response?.keepsConnection == true) open else null.also { open.close() }
            problemOrNull(id, response)?.let { violations += "seed $seed, request $id for $path: $it" }
        }
        connection?.close()
    }

    /** Returns what is wrong with [response] to the request [id], or `null` if nothing is, or it is not whole. */
    private fun problemOrNull(id: String, response: CallerResponse?): String? {
        val signature = response?.headers?.get("signature")
        if (response == null || signature == null && !response.isSuccess) return null
        val sent = responses[signature]
        whole.incrementAndGet()
        return when {
            sent == null -> "no server sent it: $response"
            sent.id != id -> "it belongs to ${sent.id}: $response"
            response.status != sent.status.take(STATUS_LENGTH) -> "the status was ${sent.status}: $response"
            // A stream may go on at another server.
            response.body == if (sent.isStream) wholeStream(id) else sent.body -> null
            else -> "the body was ${sent.body}: $response"
        }
    }

    private fun wholeStream(id: String) =
        (1..ServerResponse.EVENTS).joinToString("") { ServerResponse.event(id, it) }

    /** Sends [request], and returns the response or `null` if it is not whole. */
    private fun TestRelay.CallerSocket.exchange(request: String): CallerResponse? =
        send(request).read { CallerResponse.readOrNull(it) }

    private companion object {
        const val SEEDS = 4L
        const val SERVERS = 5
        const val CALLERS = 4
        const val REQUESTS = 25
        const val STATUS_LENGTH = 3
    }
}

/** A whole response as a caller reads it. */
private data class CallerResponse(val status: String, val headers: Map<String, String>, val body: String) {
    val isSuccess: Boolean get() = status.startsWith("2")
    val keepsConnection: Boolean get() = headers["connection"] != "close"

    companion object {
        private const val HEXADECIMAL = 16

        /** Reads the next response, or returns `null` if [input] ends before it is whole. */
        fun readOrNull(input: InputStream): CallerResponse? {
            val statusLine = input.readLineOrNull() ?: return null
            val headers = generateSequence { input.readLineOrNull().orEmpty().ifEmpty { null } }
                .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
            val length = headers["content-length"]?.toInt()
            val body = if (length == null) input.readChunksOrNull() else input.readTextOrNull(length)
            return body?.let { CallerResponse(statusLine.split(' ')[1], headers, it) }
        }

        private fun InputStream.readChunksOrNull(): String? {
            val body = StringBuilder()
            var chunk: String?
            do {
                chunk = readChunkOrNull()
                body.append(chunk)
            } while (!chunk.isNullOrEmpty())
            return body.toString().takeIf { chunk != null }
        }

        private fun InputStream.readChunkOrNull(): String? {
            val length = readLineOrNull()?.toIntOrNull(HEXADECIMAL)
            val chunk = length?.let { readTextOrNull(it) }
            val end = chunk?.let { readLineOrNull() }
            return chunk.takeIf { end != null }
        }

        private fun InputStream.readTextOrNull(length: Int): String? =
            readNBytes(length).takeIf { it.size == length }?.toString(Charsets.ISO_8859_1)

        private fun InputStream.readLineOrNull(): String? {
            val line = StringBuilder()
            while (!line.endsWith("\r\n")) {
                val next = read()
                if (next < 0) return null
                line.append(next.toChar())
            }
            return line.removeSuffix("\r\n").toString()
        }
    }
}
