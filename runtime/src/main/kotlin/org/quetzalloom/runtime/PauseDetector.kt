package org.quetzalloom.runtime

import org.quetzalloom.core.time.Clock

/**
 * Notices pauses of the process that its monotonic clock may not count, such as a suspension of the whole VM.
 *
 * A step of the time of day looks the same. Slow adjustments of the time of day are not reported.
 *
 * @param monotonic the clock by which the process measures time.
 * @param timeOfDay the clock that goes on during a suspension.
 */
public class PauseDetector(private val monotonic: Clock, private val timeOfDay: Clock) {
    private var lastOffset = currentOffset()

    /**
     * Returns by how many milliseconds the time of day has run ahead of the monotonic clock since the last call; 0 if
     * by no more than [TOLERANCE_MILLISECONDS].
     */
    public fun pauseMilliseconds(): Long {
        val offset = currentOffset()
        val ahead = offset - lastOffset
        lastOffset = offset
        return if (ahead > TOLERANCE_MILLISECONDS) ahead else 0
    }

    private fun currentOffset(): Long = timeOfDay.now() - monotonic.now()

    private companion object {
        /** Well below the margins of the leases that a pause could outlast. */
        const val TOLERANCE_MILLISECONDS = 300L
    }
}
