package org.quetzalloom.tool.operation

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.serialization.encodeToString
import org.junit.jupiter.api.Test
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.core.timeline.CausalStamp
import org.quetzalloom.core.timeline.TimelineEntry
import org.quetzalloom.wire.TimelineResponse
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.toDocument
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class TimelineTableTest {
    private val entry = TimelineEntry(
        stamp = CausalStamp(counter = 7, vm = VmId("vm-1")),
        at = Timestamp(0),
        name = "request_refused",
        fields = persistentMapOf("request" to "r-1", "error" to "unknown_target", "key" to "k", "attempt" to "1"),
    )
    private val response = TimelineResponse(persistentListOf(entry.toDocument()))
    private val answers = mapOf("vm-1" to WireFormat.encodeToString(response))

    @Test
    fun `the text shows the fields in the order of the entry`() {
        val line = TimelineTable.text(answers, TimelineFilter(request = "r-1"))
        assertTrue(line.endsWith("\trequest_refused\trequest=r-1 error=unknown_target key=k attempt=1"), line)
    }

    @Test
    fun `the JSON form keeps the order of the fields`() {
        val json = TimelineTable.json(answers, TimelineFilter(request = "r-1"))
        val fields = WireFormat.decodeFromString<TimelineResponse>(json).entries.single().fields
        assertEquals(entry.fields.keys.toList(), fields.keys.toList())
    }
}
