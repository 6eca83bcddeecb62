package org.quetzalloom.standins.load

/** Measures the time since its creation. */
class Stopwatch {
    private val startedNanoseconds = System.nanoTime()

    /** Returns the microseconds since the creation of this stopwatch. */
    fun elapsedMicroseconds(): Long = (System.nanoTime() - startedNanoseconds) / NANOSECONDS_PER_MICROSECOND

    private companion object {
        const val NANOSECONDS_PER_MICROSECOND = 1_000L
    }
}
