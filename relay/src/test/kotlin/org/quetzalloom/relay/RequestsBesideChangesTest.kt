package org.quetzalloom.relay

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.standins.scripted.ScriptedRequest
import java.io.IOException
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertTrue

/**
 * Whole requests got neither an answer nor a refusal beside changes of the configuration: heads and bodies that arrive
 * in pieces, requests behind others and plain ones, beside servers that fall silent and servers that drop connections.
 */
class RequestsBesideChangesTest {
    private val lost = CopyOnWriteArrayList<String>()
    private val answered = CopyOnWriteArrayList<String>()
    private val crossed = CopyOnWriteArrayList<String>()

    @Test
    fun `every request that was sent in full is answered, or was not read`() {
        val count = System.getProperty("seeds")?.toInt() ?: SEEDS
        val seeds = System.getProperty("seed")?.let { listOf(it.toLong()) } ?: (1L..count).toList()
        seeds.forEach { play(it) }
        println("${answered.size} requests answered, ${crossed.size} sent on a connection that was closed")
        assertEquals(emptyList(), lost.toList())
        assertTrue(answered.size >= MINIMUM_ANSWERS_PER_SEED * seeds.size, "only ${answered.size} answers")
    }

    private fun play(seed: Long) = TestRelay(serve(), serve()).use { relay ->
        val callers = (1..CALLERS).map { number ->
            thread { repeat(ROUNDS) { round -> useConnection(relay, seed, "$seed-$number-$round") } }
        }
        val random = Random(seed)
        var version = 1L
        while (callers.any { it.isAlive }) {
            relay.changeAnything(++version, random)
            Thread.sleep(random.nextLong(LONGEST_PAUSE_MILLISECONDS))
        }
    }

    private fun useConnection(relay: TestRelay, seed: Long, name: String) = try {
        Caller(relay, Random(seed + name.hashCode()), name).use()
    } catch (cut: AssertionError) {
        lost += "$name: ${cut.message}"
    }

    private fun TestRelay.changeAnything(version: Long, random: Random) = change(version) { table ->
        table.copy(
            routes = table.routes.filter { random.nextInt(DROPPED_ROUTES) > 0 }
                .map { it.copy(timeoutMilliseconds = random.nextLong(SHORTEST_TIMEOUT_MILLISECONDS, 2_000)) }
                .toPersistentList(),
            limits = table.limits.copy(
                idleTimeoutMilliseconds = random.nextLong(SHORTEST_IDLE_MILLISECONDS, LONGEST_IDLE_MILLISECONDS),
                maximumBodyBytes = listOf(BODY.length / 2, TestRelay.MAXIMUM_BODY_BYTES).random(random),
            ),
        )
    }

    /** Answers, falls silent before, or drops the connection, depending on the id of the request. */
    private fun serve(): (ScriptedRequest) -> Unit = { request ->
        val id = request.headers.getValue("id")
        val random = Random(id.hashCode())
        val streaming = "/note/" in request.requestLine
        when (random.nextInt(20)) {
            0 -> if (!streaming) Thread.sleep(SILENCE_MILLISECONDS)
            in 1..5 -> Thread.sleep(random.nextLong(LONGEST_PAUSE_MILLISECONDS))
            else -> Unit
        }
        if (random.nextInt(10) == 0) {
            request.close()
        } else if (streaming) {
            request.stream(id, random.nextLong(LONGEST_PAUSE_MILLISECONDS))
        } else {
            request.respond("200 OK", mapOf("Id" to id), "for $id")
        }
    }

    private fun ScriptedRequest.stream(id: String, pauseMilliseconds: Long) {
        write(
            "HTTP/1.1 200 OK\r\nId: $id\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
        )
        writeChunk("id: 1\ndata: x\n\n")
        Thread.sleep(pauseMilliseconds)
        writeChunk("id: 2\ndata: y\n\n")
        write("0\r\n\r\n")
    }

    /** Uses one connection until it is closed. */
    private inner class Caller(private val relay: TestRelay, private val random: Random, private val name: String) {
        private val connection = relay.connect()

        fun use() = connection.use {
            for (number in 1..REQUESTS_PER_CONNECTION) {
                val ids = (0..random.nextInt(2)).map { "$name-$number-$it" }
                if (!exchange(ids)) return@use
                if (random.nextBoolean()) Thread.sleep(random.nextLong(LONGEST_PAUSE_MILLISECONDS))
            }
        }

        /** Sends requests with [ids] one behind the other. Returns whether all were answered. */
        private fun exchange(ids: List<String>): Boolean {
            try {
                sendInPieces(ids.joinToString("") { request(it) })
            } catch (_: IOException) {
                // Not sent in full.
                return false
            }
            return ids.all { isAnswered(it) }
        }

        private fun request(id: String): String {
            val path = listOf("book", "look", "note").random(random)
            val body = if (random.nextBoolean()) "Content-Length: ${BODY.length}\r\n\r\n$BODY" else "\r\n"
            return "POST /$path/1 HTTP/1.1\r\nHost: app\r\nId: $id\r\n$body"
        }

        private fun sendInPieces(text: String) {
            var rest = text
            while (rest.isNotEmpty()) {
                val size = if (random.nextBoolean()) rest.length else random.nextInt(1, rest.length + 1)
                connection.send(rest.take(size))
                rest = rest.drop(size)
                if (rest.isNotEmpty()) Thread.sleep(random.nextLong(LONGEST_PAUSE_MILLISECONDS))
            }
        }

        /** Returns whether the request [id] is answered and the connection goes on. */
        private fun isAnswered(id: String): Boolean {
            val head = try {
                connection.readResponseOrNull()
            } catch (_: IOException) {
                null
            }
            if (head == null) noteUnanswered(id) else answered += id
            return head != null && !head.contains("connection: close", ignoreCase = true)
        }

        private fun noteUnanswered(id: String) {
            val passedOn = relay.servers.any { server -> server.requests.any { it.headers["id"] == id } }
            when {
                passedOn -> lost += "$id was passed on"
                !isReset() -> lost += "$id was read"
                else -> crossed += id
            }
        }

        /** Returns whether the relay closes the connection with the request unread, so that further input is reset. */
        private fun isReset(): Boolean = runCatching {
            Thread.sleep(AFTER_LINGER_MILLISECONDS)
            repeat(2) {
                connection.send("x")
                Thread.sleep(LONGEST_PAUSE_MILLISECONDS)
            }
        }.exceptionOrNull() is IOException
    }

    /** Reads a response with a length or in chunks, and returns its head; `null` if the connection ends before it. */
    private fun TestRelay.CallerSocket.readResponseOrNull(): String? {
        val first = readBytes(1).takeIf { it.isNotEmpty() } ?: return null
        val head = String(first) + readUntil("\r\n\r\n")
        val length = CONTENT_LENGTH.find(head)?.groupValues?.get(1)?.toInt()
        if (length == null) readUntil("0\r\n\r\n") else assertEquals(length, readBytes(length).size, "cut: $head")
        return head
    }

    private companion object {
        /** Longer than a connection lingers after the close. */
        const val AFTER_LINGER_MILLISECONDS = 1_300L
        val CONTENT_LENGTH = Regex("content-length: (\\d+)", RegexOption.IGNORE_CASE)
        const val SEEDS = 3
        const val CALLERS = 16
        const val ROUNDS = 6
        const val REQUESTS_PER_CONNECTION = 6
        const val MINIMUM_ANSWERS_PER_SEED = 50
        const val LONGEST_PAUSE_MILLISECONDS = 60L
        const val SHORTEST_IDLE_MILLISECONDS = 5L
        const val LONGEST_IDLE_MILLISECONDS = 80L
        const val SHORTEST_TIMEOUT_MILLISECONDS = 600L
        const val SILENCE_MILLISECONDS = 1_000L

        /** One route in so many is dropped. */
        const val DROPPED_ROUTES = 6
        val BODY = "x".repeat(1_000)
    }
}
