package org.quetzalloom.relay.backend

import io.netty.buffer.Unpooled
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertNotNull
import kotlin.test.assertTrue

/** Tests that events are taken and counted once they are complete, up to the first that cannot follow. */
class EventSplitterTest {
    private val bytes = Unpooled.buffer()

    private fun eventSplitter(previousId: String? = null, requiresId: Boolean = false) =
        EventSplitter({ it.contains("X-Request") }, previousId, requiresId)

    private fun EventSplitter.take(text: String): String {
        bytes.writeCharSequence(text, Charsets.ISO_8859_1)
        val taken = takeCompleteEvents(bytes)
        return taken.toString(Charsets.ISO_8859_1).also { taken.release() }
    }

    @Test
    fun `complete events are counted, and an incomplete one is left`() {
        val splitter = eventSplitter()
        val counts = listOf("id: 1\ndata: a\n", "\nid: 2\ndata: b\n\nid: 3\n\n", "data: c", "\r\n\r\n").map {
            splitter.take(it)
            splitter.eventCount
        }
        assertEquals(listOf(0, 3, 3, 4), counts)
        assertEquals("3", splitter.lastEventId)
    }

    @Test
    fun `events that are received byte by byte are taken at their ends`() {
        val events = listOf("id: 1\ndata: a\n\n", "id: 2\r\ndata: b\r\n\r\n", ":\n\r\n", "\n", "data: c\n\n")
        val splitter = eventSplitter()
        val taken = events.joinToString("").map { splitter.take(it.toString()) }.filter { it.isNotEmpty() }
        assertEquals(events, taken)
        assertEquals(4, splitter.eventCount)
    }

    @Test
    fun `events are taken up to one whose id does not follow, and none after it`() {
        val splitter = eventSplitter()
        assertEquals("id: 9\n\nid: 10\n\n", splitter.take("id: 9\n\nid: 10\n\nid: 9\n\nid: 11\n\n"))
        assertNotNull(splitter.problem)
        assertEquals("", splitter.take("id: 12\n\n"))
        assertEquals("10", splitter.lastEventId)
        assertEquals(2, splitter.eventCount)
    }

    @Test
    fun `a stream that continues must have an id in its first event, but not in comments and retry times`() {
        val begin = ": comment\n\nretry: 5\n\n\n"
        val sound = eventSplitter("7", requiresId = true)
        assertEquals("${begin}id: 8\n\ndata: x\n\n", sound.take("${begin}id: 8\n\ndata: x\n\n"))
        val withoutId = eventSplitter("7", requiresId = true)
        assertEquals(begin, withoutId.take("${begin}data: x\n\nid: 8\n\n"))
        assertNotNull(withoutId.problem)
        assertEquals(null, withoutId.lastEventId)
    }

    @Test
    fun `a head inside an event is invalid also in lower case, but not a quoted status line`() {
        val head = "HTTP/1.1 500 Internal Server Error\r\ncontent-length: 7\r\nx-request: a\r\n\r\n"
        val joined = listOf(
            head,
            "data: on$head",
            "data: on\n$head",
            ": on$head",
            "id: 1\ndata: HTTP/1.1 200 OK\n$head",
        )
        joined.forEach { text ->
            val splitter = eventSplitter()
            assertEquals("id: 1\n\n", splitter.take("id: 1\n\n$text"), text)
            assertNotNull(splitter.problem, text)
            bytes.clear()
        }
        val quoted = "data: ${head.trim().replace("\r\n", "\ndata: ")}\nid: 2\nx-weight-versions: 3\n\n"
        assertEquals(quoted, eventSplitter().take(quoted))
    }

    @Test
    fun `line breaks and comments without end are taken up to a limit, also where they are received in parts`() {
        for (text in listOf("\n", "\r\n", ":\n\n", "retry: 5\n\n", ": comment\r\n\r\n")) {
            for (repetitions in listOf(1, REPETITIONS)) {
                val splitter = eventSplitter()
                splitter.take("id: 1\ndata: a\n\n")
                var pieces = 0
                while (splitter.problem == null && pieces < FAR_TOO_MANY) {
                    splitter.take(text.repeat(repetitions))
                    pieces += repetitions
                }
                assertNotNull(splitter.problem, "$pieces times ${text.trim()}")
                assertEquals("1", splitter.lastEventId)
                bytes.clear()
            }
        }
    }

    @Test
    fun `line breaks and comments between the events of a long stream do not count together`() {
        val splitter = eventSplitter()
        repeat(REPETITIONS) { number ->
            val part = "\n\r\n".repeat(LINE_BREAKS) + ":\n\n".repeat(LINE_BREAKS) + "id: $number\ndata: a\n\n"
            assertEquals(part, splitter.take(part))
        }
        assertEquals(null, splitter.problem)
        assertEquals("${REPETITIONS - 1}", splitter.lastEventId)
    }

    @Test
    fun `the end of a body is inside an event unless an empty line was received after its last line`() {
        val complete = listOf("", "\n", "\r\n", "data: a\n\n", "data: a\r\n\r\n", "data: a\n\r\n\n", "a\n\nb\n\n\n")
        val incomplete = listOf("d", "data: a", "data: a\n", "data: a\r\n", "data: a\n\nid", "a\n\nb\r\n")
        fun endsInside(text: String) = eventSplitter().endsInsideEvent(Unpooled.copiedBuffer(text, Charsets.UTF_8))
        complete.forEach { assertFalse(endsInside(it), it) }
        incomplete.forEach { assertTrue(endsInside(it), it) }
    }

    private companion object {
        const val REPETITIONS = 500
        const val LINE_BREAKS = 100
        const val FAR_TOO_MANY = 200_000
    }
}
