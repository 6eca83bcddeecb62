package org.quetzalloom.core.relay.server

import org.quetzalloom.core.time.Timestamp

/**
 * How long a backend server's responses take to begin, as a factor of the usual time of its service.
 *
 * @property logFactor the natural logarithm of the factor, averaged over recent responses.
 * @property updatedAt when [logFactor] last changed.
 */
internal data class Slowness(val logFactor: Double = 0.0, val updatedAt: Timestamp = Timestamp.EPOCH) {
    /**
     * Returns the factor at [now]. Without responses it returns to 1, so that a server that was slow is tried again.
     */
    fun factorAt(now: Timestamp): Double = if (logFactor == 0.0) 1.0 else Math.exp(logFactorAt(now))

    /** Returns the slowness after a response that took [elapsed] milliseconds to begin instead of the [usual] time. */
    fun record(elapsed: Long, usual: Long, now: Timestamp): Slowness {
        val factor = (elapsed + BASE_MILLISECONDS) / (usual + BASE_MILLISECONDS)
        val latest = Math.log(factor.coerceIn(1 / MAXIMUM_FACTOR, MAXIMUM_FACTOR))
        return Slowness(logFactor = logFactorAt(now) * (1 - LATEST_WEIGHT) + latest * LATEST_WEIGHT, updatedAt = now)
    }

    private fun logFactorAt(now: Timestamp): Double =
        logFactor * Math.pow(HALF, (now - updatedAt).coerceAtLeast(0) / HALF_LIFE_MILLISECONDS)

    private companion object {
        /** The weight of the latest response. It takes several slow responses in a row to rate a server as slow. */
        const val LATEST_WEIGHT = 0.35

        /**
         * Bounds the factor of one response: cached prompts are not read again, so single responses vary by as much.
         */
        const val MAXIMUM_FACTOR = 8.0

        /** Added to both times: a response takes this long without any prompt, and smaller differences say nothing. */
        const val BASE_MILLISECONDS = 50.0
        const val HALF_LIFE_MILLISECONDS = 6_000.0
        const val HALF = 0.5
    }
}
