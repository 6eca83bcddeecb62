package org.quetzalloom.relay.backend

import org.quetzalloom.core.relay.exchange.AttemptFailure

/**
 * Bounds the memory that the responses which are being read take together. Confined to the event loop's thread.
 *
 * @param limitBytes the memory that they may take.
 * @param largestCallOrNull returns the attempt whose unfinished response takes the most memory, or `null` if none takes
 *   any.
 */
internal class ResponseMemory(private val limitBytes: Long, private val largestCallOrNull: () -> BackendCall?) {
    private var usedBytes = 0L

    /** Counts that a response takes [bytes] more, or less if negative. */
    fun change(bytes: Int) {
        usedBytes += bytes
    }

    /**
     * Ends the largest responses while all together take too much. They are the least likely to have an end, whereas
     * the response that goes on at this moment may be a sound one.
     */
    fun enforceLimit() {
        while (usedBytes > limitBytes) {
            val call = largestCallOrNull() ?: return
            call.abandon(AttemptFailure.TOO_LARGE)
        }
    }
}
