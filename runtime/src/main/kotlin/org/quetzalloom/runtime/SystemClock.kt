package org.quetzalloom.runtime

import org.quetzalloom.core.time.Clock
import org.quetzalloom.core.time.Timestamp

/** The clock of the machine, made to never go back within one process. */
public class SystemClock : Clock {
    private val startedAt = System.currentTimeMillis()
    private val startedNanoseconds = System.nanoTime()

    override fun now(): Timestamp =
        Timestamp(startedAt + (System.nanoTime() - startedNanoseconds) / NANOSECONDS_PER_MILLISECOND)

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
    }
}
