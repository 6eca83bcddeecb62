package org.quetzalloom.core.rig

import org.quetzalloom.core.time.Timestamp
import java.util.PriorityQueue

/** A virtual clock and its queue: actions run in order of time, and in order of scheduling if times are equal. */
class Schedule {
    private data class Due(val at: Long, val number: Long, val action: () -> Unit)

    private val queue = PriorityQueue<Due>(compareBy<Due> { it.at }.thenBy { it.number })
    private var nextNumber = 0L

    /** The current virtual time, in milliseconds. */
    var now: Long = START_MILLISECONDS
        private set

    val timestamp: Timestamp get() = Timestamp(now)

    /** Schedules [action] to run after [milliseconds]; a negative delay counts as 0. */
    fun after(milliseconds: Long, action: () -> Unit) {
        queue.add(Due(now + milliseconds.coerceAtLeast(0), nextNumber++, action))
    }

    /** Runs all actions that are due within [milliseconds], and advances the clock to the end of that time. */
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
