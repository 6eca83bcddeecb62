package org.quetzalloom.core.rig

import org.quetzalloom.core.time.Timestamp
import java.util.PriorityQueue

/** Virtual time: what is due is run in order of time, and of entry where times are equal. */
class Schedule {
    private data class Due(val at: Long, val number: Long, val action: () -> Unit)

    private val queue = PriorityQueue<Due>(compareBy<Due> { it.at }.thenBy { it.number })
    private var nextNumber = 0L

    /** The current time, in milliseconds. */
    var now: Long = START_MILLISECONDS
        private set

    val timestamp: Timestamp get() = Timestamp(now)

    fun after(milliseconds: Long, action: () -> Unit) {
        queue.add(Due(now + milliseconds.coerceAtLeast(0), nextNumber++, action))
    }

    fun runFor(milliseconds: Long) {
        val end = now + milliseconds
        while (queue.isNotEmpty() && queue.peek().at <= end) {
            val due = queue.poll()
            now = due.at
            due.action()
        }
        now = end
    }

    private companion object {
        const val START_MILLISECONDS = 1_000_000L
    }
}
