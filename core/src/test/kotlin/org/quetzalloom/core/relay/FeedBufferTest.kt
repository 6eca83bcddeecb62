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

    private val buffer = FeedBuffer.of(
        emptyList(),
        end = 3
    ).append(listOf(record("a", 3), record("b", 4)), nextOffset = 5)

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

    private fun randomLog(random: Random): List<FeedRecord> = (0L until LENGTH).map {
        record(zone = "${random.nextInt(3)}", offset = it, content = "x".repeat(random.nextInt(3)).ifEmpty { null })
    }

    /** Returns the buffer after the records of [log] before [end], which are read from its offset or as a snapshot. */
    private fun FeedBuffer.read(log: List<FeedRecord>, end: Long, asSnapshot: Boolean): FeedBuffer {
        if (!asSnapshot) return append(log.filter { it.offset in this.end until end }, end)
        val newest = log.filter { it.offset < end }.associateBy { it.key }.values.filter { it.content != null }
        return advance(newest.map { it.copy(offset = end - 1) }, end)
    }

    private fun assertComplete(buffer: FeedBuffer, log: List<FeedRecord>, name: String) {
        for (from in 0..buffer.end) {
            val known = if (buffer.needsSnapshot(from)) emptyMap() else state(log, from)
            val after = buffer.since(from).fold(known) { all, one -> all + (one.key to one.content) }
            assertEquals(state(log, buffer.end), after.filterValues { it != null }, "$name, from $from")
        }
    }

    @Test
    fun `whatever a router has read, it ends in the state of the buffer`() {
        for (seed in 1L..SEEDS) {
            val random = Random(seed)
            val log = randomLog(random)
            var buffer = FeedBuffer.of(emptyList(), end = 0)
            while (buffer.end < LENGTH) {
                val end = buffer.end + random.nextLong(1, LENGTH - buffer.end + 1)
                buffer = buffer.read(log, end, asSnapshot = random.nextBoolean())
                assertComplete(buffer, log, "seed $seed")
            }
        }
    }

    private companion object {
        const val SEEDS = 200L
        const val LENGTH = 12L
    }
}
