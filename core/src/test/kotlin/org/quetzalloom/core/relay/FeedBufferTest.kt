package org.quetzalloom.core.relay

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.relay.feed.FeedBuffer
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.feed.FeedRecord
import org.quetzalloom.core.relay.feed.RecordContent
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse

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
    fun `one that has read more than the buffer gets no less than it lacks`() {
        val after = buffer.advance(listOf(record("b", 8, "again")), nextOffset = 9)
        assertEquals(setOf(record("b", 8, "again"), record("a", 8, content = null)), after.since(7).toSet())
    }
}
