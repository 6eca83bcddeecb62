package org.quetzalloom.runtime

import org.quetzalloom.core.time.Clock
import org.quetzalloom.core.time.Timestamp

/**
 * The system time at the creation of this clock plus the monotonic time elapsed since, so that it never goes back.
 *
 * Later adjustments of the system time have no effect.
 */
public class SystemClock : Clock {
    private val startedAt = System.currentTimeMillis()
    private val startedNanoseconds = System.nanoTime()

    override fun now(): Timestamp =
        Timestamp(startedAt + (System.nanoTime() - startedNanoseconds) / NANOSECONDS_PER_MILLISECOND)

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
