package org.quetzalloom.core.relay.forecast

import org.quetzalloom.core.relay.server.PrefillPace

/** Predicts the start of a response from the prompts ahead of it, and takes the response to end where it starts. */
internal class PrefillForecast(private val pace: PrefillPace) : Forecast {
    override fun ofOrNull(load: ServerLoad, request: ForecastRequest): ResponseForecast? {
        val start = pace.estimateOrNull(load.workAhead + request.work) ?: return null
        return (start * load.slowness).toLong().let { ResponseForecast(it, it) }
    }
}
