package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.relay.feed.FeedBuffer
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedRecord
import org.quetzalloom.core.relay.feed.RecordContent
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Routers that read through one that has read a snapshot get what has changed rather than all records. */
class FeedBufferTest {
    private fun record(zone: String, offset: Long, content: String? = "evacuated") = FeedRecord(
        key = "evacuate/$zone",
        offset = offset,
        content = content?.let { RecordContent(it.toByteArray()) },
        entry = FeedEntry.Evacuation(AvailabilityZoneId(zone), active = content != null),
    )

    private val buffer = FeedBuffer.of(emptyList(), end = 3).append(listOf(record("a", 3), record("b", 4)), nextOffset = 5)

    @Test
    fun `records that a snapshot adds, changes or lacks are told as changes`() {
        val after = buffer.advance(listOf(record("b", 8, "again"), record("c", 8)), nextOffset = 9)
        assertFalse(after.needsSnapshot(from = 5))
        val expected = setOf(record("b", 8, "again"), record("c", 8), record("a", 8, content = null))
        assertEquals(expected, after.since(5).toSet())
        assertEquals(emptyList(), after.since(9))
        assertEquals(setOf("evacuate/b", "evacuate/c"), after.newest.keys)
    }

    @Test
    fun `a snapshot that says the same changes nothing`() {
        val after = buffer.advance(listOf(record("a", 8), record("b", 8)), nextOffset = 9)
        assertFalse(after.hasNews(from = 5))
        assertEquals(9, after.end)
    }

    @Test
    fun `one that has read more than the buffer gets the snapshot`() {
        val after = buffer.advance(listOf(record("b", 8, "again")), nextOffset = 9)
        assertTrue(after.hasNews(from = 7))
        assertTrue(after.needsSnapshot(from = 7))
        assertEquals(listOf(record("b", 8, "again")), after.since(7))
    }

    /** The state after all records of [log] before [offset]. */
    private fun state(log: List<FeedRecord>, offset: Long): Map<String, RecordContent?> =
        log.filter { it.offset < offset }.associate { it.key to it.content }.filterValues { it != null }

    @Test
    fun `whatever a router has read, it ends in the state of the buffer`() {
        for (seed in 1L..SEEDS) {
            val random = Random(seed)
            val log = (0L until LENGTH).map { record("${random.nextInt(3)}", it, "x".repeat(random.nextInt(3)).ifEmpty { null }) }
            var read = FeedBuffer.of(emptyList(), end = 0)
            while (read.end < LENGTH) {
                val end = read.end + random.nextLong(1, LENGTH - read.end + 1)
                val newest = log.filter { it.offset < end }.associateBy { it.key }.values.filter { it.content != null }
                read = if (random.nextBoolean()) {
                    read.append(log.filter { it.offset in read.end until end }, end)
                } else {
                    read.advance(newest.map { it.copy(offset = end - 1) }, end)
                }
                for (from in 0..read.end) {
                    val known = if (read.needsSnapshot(from)) emptyMap() else state(log, from)
                    val after = read.since(from).fold(known) { all, one -> all + (one.key to one.content) }
                    assertEquals(state(log, read.end), after.filterValues { it != null }, "seed $seed, from $from")
                }
            }
        }
    }

    private companion object {
        const val SEEDS = 200L
        const val LENGTH = 12L
    }
}
