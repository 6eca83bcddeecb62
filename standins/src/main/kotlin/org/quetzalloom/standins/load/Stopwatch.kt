package org.quetzalloom.standins.load

/** Measures the time since it was made. */
class Stopwatch {
    private val startedNanoseconds = System.nanoTime()

    /** Returns the microseconds since the start. */
    fun elapsedMicroseconds(): Long = (System.nanoTime() - startedNanoseconds) / NANOSECONDS_PER_MICROSECOND

    private companion object {
        const val NANOSECONDS_PER_MICROSECOND = 1_000L
    }
}
