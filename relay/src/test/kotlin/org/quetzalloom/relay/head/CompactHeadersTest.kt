package org.quetzalloom.relay.head

import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.TooLongHttpHeaderException
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFailsWith

class CompactHeadersTest {
    private val memory = MessageMemory(limitBytes = 40_000)
    private val validation = DefaultHttpHeadersFactory.headersFactory()

    private fun headers(maximumLines: Int = Int.MAX_VALUE, counted: HeadMemory = HeadMemory.Uncounted) =
        CompactHeaders(HeaderLines(counted, maximumLines), validation)

    private fun HttpHeaders.all() = entries().map { it.key to it.value }

    /** Lines of one name keep their order; the order of names is that of their first lines. */
    private fun HttpHeaders.byName() = all().groupBy({ it.first.lowercase() }, { it.second })

    @Test
    fun `they hold what the usual headers hold, whatever is added, set and removed`() {
        for (seed in 1..SEEDS) {
            val random = Random(seed)
            val compact = headers()
            val usual = DefaultHttpHeaders()
            repeat(CHANGES) {
                val name = listOf("a", "A", "bc", "Content-Length", "x-1").random(random)
                val value = "v".repeat(random.nextInt(LONGEST_VALUE))
                val change: (HttpHeaders) -> Unit = when (random.nextInt(6)) {
                    0 -> { headers -> headers.set(name, value) }
                    1 -> { headers -> headers.remove(name) }
                    2 -> { headers -> headers.setInt(name, value.length) }
                    else -> { headers -> headers.add(name, value) }
                }
                change(compact)
                change(usual)
                assertEquals(usual.byName(), compact.byName(), "seed $seed")
                assertEquals(usual.get(name), compact.get(name), "seed $seed")
                assertEquals(usual.getAll(name), compact.getAll(name), "seed $seed")
                assertEquals(usual.getInt(name), compact.getInt(name), "seed $seed")
                assertEquals(usual.size(), compact.size(), "seed $seed")
                assertEquals(usual.byName(), compact.copy().byName(), "seed $seed")
            }
        }
    }

    @Test
    fun `values that would end their line are rejected, as by the usual headers`() {
        assertFailsWith<IllegalArgumentException> { headers().add("a", "b\r\nc: d") }
        assertFailsWith<IllegalArgumentException> { headers().add("a b", "c") }
    }

    @Test
    fun `more lines than allowed are rejected`() {
        val headers = headers(maximumLines = 2).add("a", "").add("a", "")
        assertFailsWith<TooLongHttpHeaderException> { headers.add("a", "") }
    }

    @Test
    fun `the memory of many short lines is bounded and released`() {
        val connections = List(3) { ConnectionMemory(memory) }
        val large = headers(counted = connections[0])
        assertFailsWith<HeadMemoryException> { repeat(MANY_LINES) { large.add("a", "") } }
        assertEquals(1, memory.refusedHeads)
        large.release()
        connections.forEach { it.close() }
        assertEquals(0, memory.usedBytes)
    }

    private companion object {
        const val SEEDS = 50
        const val CHANGES = 60
        const val LONGEST_VALUE = 300
        const val MANY_LINES = 4_096
    }
}
