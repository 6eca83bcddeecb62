package org.quetzalloom.core.relay.forecast

/**
 * By which factor responses of a service begin later than forecast.
 *
 * @property logFactor the natural logarithm of the factor, averaged over recent responses.
 */
internal data class ForecastBias(val logFactor: Double = 0.0) {
    /** The factor by which the next forecast is to be corrected. */
    val factor: Double get() = Math.exp(logFactor)

    /** Returns the bias after a response that took [elapsed] instead of the [forecast] milliseconds, as corrected. */
    fun record(elapsed: Long, forecast: Long): ForecastBias {
        val error = Math.log((elapsed + BASE_MILLISECONDS) / (forecast + BASE_MILLISECONDS))
        return ForecastBias((logFactor + error * LATEST_WEIGHT).coerceIn(-MAXIMUM_LOG, MAXIMUM_LOG))
    }

    private companion object {
        const val LATEST_WEIGHT = 0.05
        const val MAXIMUM_LOG = 1.4

        /** Responses take this long without any prompt, and smaller errors say nothing. */
        const val BASE_MILLISECONDS = 30.0
    }
}
