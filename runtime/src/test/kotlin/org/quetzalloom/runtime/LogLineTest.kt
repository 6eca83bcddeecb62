package org.quetzalloom.runtime

import kotlinx.collections.immutable.persistentMapOf
import org.junit.jupiter.api.Test
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.core.timeline.CausalStamp
import org.quetzalloom.core.timeline.TimelineEntry
import kotlin.test.assertEquals
import kotlin.test.assertTrue

class LogLineTest {
    private fun entry(vararg fields: Pair<String, String>) = TimelineEntry(
        stamp = CausalStamp(counter = 1_052, vm = VmId("vm-1")),
        at = Timestamp(0),
        name = "request_refused",
        fields = persistentMapOf(*fields),
    )

    @Test
    fun `fields keep their order, before the VM and the stamp`() {
        val line = entry("request" to "r-1", "kind" to "unknown_target", "host" to "a \"b\"").toLogLine()
        val expected = "event=request_refused request=r-1 kind=unknown_target host=\"a \\\"b\\\"\" vm=vm-1 stamp=1052"
        assertEquals(expected, line)
    }

    @Test
    fun `a line that is too long loses the end of its fields, but not the VM and the stamp`() {
        val line = entry("request" to "r-1", "path" to "/" + "p".repeat(300)).toLogLine(maximumLength = 100)
        assertEquals(100, line.length)
        assertTrue(line.startsWith("event=request_refused request=r-1 path=/ppp"), line)
        assertTrue(line.endsWith("ppp vm=vm-1 stamp=1052"), line)
    }

    @Test
    fun `a line of the maximum length is complete`() {
        val complete = entry("request" to "r-1", "path" to "/p").toLogLine()
        assertEquals(complete, entry("request" to "r-1", "path" to "/p").toLogLine(maximumLength = complete.length))
    }
}
