package org.quetzalloom.relay.http

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import org.junit.jupiter.api.Assertions.assertTimeoutPreemptively
import org.quetzalloom.relay.head.CompactHeaders
import org.quetzalloom.relay.head.HeadMemory
import org.quetzalloom.relay.head.HeaderLines
import java.time.Duration
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

class HopHeadersTest {
    private val validation = DefaultHttpHeadersFactory.headersFactory()

    private fun compactHeaders(): HttpHeaders = CompactHeaders(HeaderLines(HeadMemory.Uncounted), validation)

    private fun HttpHeaders.all() = entries().map { it.key to it.value }

    @Test
    fun `names of a long Connection line are not searched for one by one in many short lines`() {
        for (headers in listOf(compactHeaders(), DefaultHttpHeaders())) {
            headers.add("Connection", "a,".repeat(MANY))
            repeat(MANY) { headers.add("b", "") }
            assertTimeoutPreemptively(LONGEST_TIME) {
                assertEquals(MANY, headers.withoutHopByHopHeaders().size())
            }
        }
    }

    @Test
    fun `many lines that a Connection line names are not moved up one by one`() {
        val headers = compactHeaders().add("Connection", "b").add("c", "d")
        repeat(MANY) { headers.add("b", "") }
        assertTimeoutPreemptively(LONGEST_TIME) {
            assertEquals(listOf("c" to "d"), headers.withoutHopByHopHeaders().all())
        }
    }

    @Test
    fun `the lines that are left are those that a removal of each name leaves`() {
        for (seed in 1..SEEDS) {
            for (headers in listOf(compactHeaders(), DefaultHttpHeaders())) {
                val random = Random(seed)
                repeat(random.nextInt(LINES)) { headers.add(NAMES.random(random), "$it") }
                repeat(random.nextInt(CONNECTION_LINES)) {
                    val options = List(random.nextInt(NAMES.size)) { NAMES.random(random) }
                    headers.add("connection", options.joinToString(" , "))
                }
                val named = headers.getAll("Connection").flatMap { it.split(',') }.map { it.trim() }
                val expected = headers.copy()
                (named + REMOVED).filter { it.isNotEmpty() }.forEach { expected.remove(it) }
                val before = headers.all()
                assertEquals(expected.all(), headers.withoutHopByHopHeaders().all(), "seed $seed")
                assertEquals(before, headers.all(), "seed $seed")
            }
        }
    }

    private companion object {
        /** With a search for each name, this takes minutes. */
        const val MANY = 150_000
        val LONGEST_TIME: Duration = Duration.ofSeconds(20)
        const val SEEDS = 100
        const val LINES = 30
        const val CONNECTION_LINES = 3
        val NAMES = listOf("a", "A", "x-b", "X-B", "TE", "Keep-Alive", "Content-Length", "Host", "close", "Expect")
        val REMOVED = listOf(
            "connection", "keep-alive", "proxy-authenticate", "proxy-authorization", "proxy-connection", "te",
            "trailer", "transfer-encoding", "upgrade", "expect", "content-length",
        )
    }
}
