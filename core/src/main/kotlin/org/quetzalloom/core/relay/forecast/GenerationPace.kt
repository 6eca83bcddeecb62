package org.quetzalloom.core.relay.forecast

/**
 * How fast the backend servers of a service generate tokens with one model, measured over recent responses.
 *
 * @property tokens the sum of the expected lengths of these responses.
 * @property milliseconds the sum of the times from their first to their last event, at the usual duration of work.
 */
internal data class GenerationPace(val tokens: Double = 0.0, val milliseconds: Double = 0.0) {
    /** Returns the pace after a response of [expectedTokens] took [elapsed] milliseconds from its first event on. */
    fun record(expectedTokens: Int, elapsed: Double): GenerationPace {
        val kept = if (tokens > MAXIMUM_TOKENS) HALF else 1.0
        return GenerationPace(tokens = tokens * kept + expectedTokens, milliseconds = milliseconds * kept + elapsed)
    }

    /** Estimates how many milliseconds a response of [expectedTokens] takes; `null` while too little was measured. */
    fun estimateOrNull(expectedTokens: Int): Double? =
        (expectedTokens * milliseconds / tokens).takeIf { tokens >= MINIMUM_TOKENS }

    private companion object {
        const val MINIMUM_TOKENS = 2_000.0

        /** The sums are halved when they exceed this, about a hundred responses. */
        const val MAXIMUM_TOKENS = 40_000.0
        const val HALF = 0.5
    }
}
