package org.quetzalloom.relay.backend

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals

/** Tests that events are taken and counted once they are complete. */
class EventSplitterTest {
    @Test
    fun `complete events are counted, and an incomplete one is left`() {
        val splitter = EventSplitter()
        val bytes = Unpooled.buffer()
        val counts = listOf("id: 1\ndata: a\n", "\nid: 2\ndata: b\n\nid: 3\n\n", "data: c", "\r\n\r\n").map {
            bytes.writeCharSequence(it, Charsets.UTF_8)
            splitter.takeCompleteEvents(bytes).release()
            splitter.eventCount
        }
        assertEquals(listOf(0, 3, 3, 4), counts)
        assertEquals("3", splitter.lastEventId)
    }
}
