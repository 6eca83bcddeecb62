package org.quetzalloom.core.relay.server

import org.quetzalloom.core.time.Timestamp

/**
 * How many times as long as usual for its service a backend server takes to begin its answers.
 *
 * @property logarithm the natural logarithm of the mean over the answers of late.
 * @property at when it was last changed.
 */
internal data class Slowness(val logarithm: Double = 0.0, val at: Timestamp = Timestamp.EPOCH) {
    /** Returns the factor at [now]; it returns to 1, so that a server that was slow is tried again. */
    fun factorAt(now: Timestamp): Double = Math.exp(logarithmAt(now))

    /** Returns the slowness after an answer that took [elapsed] milliseconds to begin, where [usual] is usual. */
    fun count(elapsed: Long, usual: Long, now: Timestamp): Slowness {
        val factor = (elapsed + RESERVE_MILLISECONDS) / (usual + RESERVE_MILLISECONDS)
        val latest = Math.log(factor.coerceIn(1 / LARGEST_FACTOR, LARGEST_FACTOR))
        return Slowness(logarithm = logarithmAt(now) * (1 - WEIGHT) + latest * WEIGHT, at = now)
    }

    private fun logarithmAt(now: Timestamp): Double =
        logarithm * Math.pow(HALF, (now - at).coerceAtLeast(0) / HALF_LIFE_MILLISECONDS)

    private companion object {
        /** The weight of the latest answer: some answers in a row say that a server is slow. */
        const val WEIGHT = 0.35

        /** Prompts that are kept are not read again, so that single answers differ by as much. */
        const val LARGEST_FACTOR = 8.0

        /** The time of an answer without any prompt; smaller differences say nothing. */
        const val RESERVE_MILLISECONDS = 50.0
        const val HALF_LIFE_MILLISECONDS = 6_000.0
        const val HALF = 0.5
    }
}
