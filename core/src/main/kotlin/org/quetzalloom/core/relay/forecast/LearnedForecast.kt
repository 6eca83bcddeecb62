package org.quetzalloom.core.relay.forecast

import org.quetzalloom.core.relay.server.PrefillPace

/**
 * Predicts a response from the prompts ahead of it and the usual pace of its service: its start by the time to read
 * them, corrected by the errors of earlier forecasts, and its end by the time to generate it beside the requests that
 * run there.
 */
internal class LearnedForecast(
    private val prefill: PrefillPace,
    private val generation: GenerationPace,
    private val bias: ForecastBias,
) : Forecast {
    override fun ofOrNull(load: ServerLoad, request: ForecastRequest): ResponseForecast? {
        val reading = prefill.estimateOrNull(load.workAhead + request.work) ?: return null
        val start = reading * load.workDuration * load.slowness * bias.factor
        val occupancy = load.requests.toDouble() / load.slots.coerceAtLeast(1)
        val generating = generation.estimateOrNull(request.outputTokens) ?: 0.0
        val end = start + generating * load.workDuration * (1 + occupancy)
        return ResponseForecast(start.toLong(), end.toLong())
    }
}
