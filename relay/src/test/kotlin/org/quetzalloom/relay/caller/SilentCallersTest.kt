package org.quetzalloom.relay.caller

import io.netty.buffer.Unpooled
import io.netty.channel.embedded.EmbeddedChannel
import org.quetzalloom.core.time.Timestamp
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertFalse
import kotlin.test.assertTrue

/** Nothing bounded what all callers together left unread, and a connection was kept however long it was silent. */
class SilentCallersTest {
    private var now = 0L
    private val memory = RequestMemory(limitBytes = Long.MAX_VALUE)
    private val unread = TestCallers.unread(LIMIT_BYTES, clock = { Timestamp(now) })

    private fun caller() = EmbeddedChannel(UnreadBytes(memory, unread))

    /** Leaves [bytes] unread at this caller, and checks the limit as a response to another caller does. */
    private fun EmbeddedChannel.leaveUnread(bytes: Int) {
        write(Unpooled.wrappedBuffer(ByteArray(bytes)))
        unread.enforceLimit()
    }

    @Test
    fun `above the limit the caller that has read nothing for the longest time is dropped`() {
        val callers = List(CALLERS) { caller() }
        callers.forEach {
            it.leaveUnread(LIMIT_BYTES.toInt() / CALLERS)
            now++
        }
        // What all left unread takes a little more than its bytes.
        assertEquals(listOf(false) + List(CALLERS - 1) { true }, callers.map { it.isOpen })
        callers[1].flush()
        callers[1].leaveUnread(bytes = 1)
        callers.last().leaveUnread(2 * LIMIT_BYTES.toInt() / CALLERS)
        assertTrue(callers[1].isOpen, "a caller that reads was dropped")
        assertFalse(callers[2].isOpen, "the caller that is silent for the longest time was kept")
        assertTrue(unread.usedBytes <= LIMIT_BYTES, "${unread.usedBytes} bytes are held")
    }

    @Test
    fun `what is read or dropped is no longer counted`() {
        val callers = List(2) { caller() }
        callers.forEach { it.leaveUnread(bytes = 1_000) }
        assertTrue(memory.usedBytes >= 2_000)
        callers[0].flush()
        unread.dropLongestSilent(silentMilliseconds = 0)
        assertFalse(callers[1].isOpen)
        assertEquals(0L, unread.usedBytes)
        assertEquals(0L, memory.usedBytes)
    }

    @Test
    fun `a caller is not dropped before it has been silent for the given time`() {
        val caller = caller()
        caller.leaveUnread(bytes = 1)
        now = SILENT_MILLISECONDS - 1
        assertFalse(unread.dropLongestSilent(SILENT_MILLISECONDS))
        now++
        assertTrue(unread.dropLongestSilent(SILENT_MILLISECONDS))
        assertFalse(caller.isOpen)
        assertEquals(1, unread.droppedCallers)
    }

    private companion object {
        const val LIMIT_BYTES = 100_000L
        const val CALLERS = 5
        const val SILENT_MILLISECONDS = 15_000L
    }
}
