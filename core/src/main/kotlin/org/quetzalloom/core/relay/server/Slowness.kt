package org.quetzalloom.core.relay.server

import org.quetzalloom.core.time.Timestamp

/**
 * How many times as long as usual for its service a backend server takes to begin its answers.
 *
 * @property logFactor the natural logarithm of the mean over the answers of late.
 * @property updatedAt when it was last changed.
 */
internal data class Slowness(val logFactor: Double = 0.0, val updatedAt: Timestamp = Timestamp.EPOCH) {
    /** Returns the factor at [now]; it returns to 1, so that a server that was slow is tried again. */
    fun factorAt(now: Timestamp): Double = Math.exp(logFactorAt(now))

    /** Returns the slowness after an answer that took [elapsed] milliseconds to begin, where [usual] is usual. */
    fun record(elapsed: Long, usual: Long, now: Timestamp): Slowness {
        val factor = (elapsed + BASE_MILLISECONDS) / (usual + BASE_MILLISECONDS)
        val latest = Math.log(factor.coerceIn(1 / MAXIMUM_FACTOR, MAXIMUM_FACTOR))
        return Slowness(logFactor = logFactorAt(now) * (1 - LATEST_WEIGHT) + latest * LATEST_WEIGHT, updatedAt = now)
    }

    private fun logFactorAt(now: Timestamp): Double =
        logFactor * Math.pow(HALF, (now - updatedAt).coerceAtLeast(0) / HALF_LIFE_MILLISECONDS)

    private companion object {
        /** The weight of the latest answer: some answers in a row say that a server is slow. */
        const val LATEST_WEIGHT = 0.35

        /** Prompts that are kept are not read again, so that single answers differ by as much. */
        const val MAXIMUM_FACTOR = 8.0

        /** The time of an answer without any prompt; smaller differences say nothing. */
        const val BASE_MILLISECONDS = 50.0
        const val HALF_LIFE_MILLISECONDS = 6_000.0
        const val HALF = 0.5
    }
}
