package org.quetzalloom.core.relay.forecast

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.exchange.workUntilResponse
import org.quetzalloom.core.relay.server.PrefillPace
import org.quetzalloom.core.relay.server.ServerView
import org.quetzalloom.core.time.Timestamp

/**
 * Predicts when the server of [view] would answer [exchange] if it were sent at [now]; `null` while too little is
 * known.
 */
internal fun RelayState.forecastOrNull(exchange: Exchange, view: ServerView, now: Timestamp): ResponseForecast? {
    val work = policies.workEstimate.of(exchange.request, exchange.modelIndex)
    val load = ServerLoad(
        slots = view.listing.slots,
        requests = view.loadAt(now),
        workAhead = workUntilResponse(view, work = 0),
        workDuration = view.workDurationOrUsual,
        slowness = view.slowness.factorAt(now),
        report = view.loadReport,
    )
    val forecast = LearnedForecast(
        prefill = servers.prefillPaces[exchange.service] ?: PrefillPace(),
        generation = generationPace(exchange),
        bias = forecasts.biases[exchange.service] ?: ForecastBias(),
    )
    return forecast.ofOrNull(load, ForecastRequest(work, exchange.request.expectedOutputTokens))
}

/** Returns the time that the response to [exchange] takes to generate, as the work that is read in the same time. */
internal fun RelayState.generationWork(exchange: Exchange): Long {
    val milliseconds = generationPace(exchange).estimateOrNull(exchange.request.expectedOutputTokens) ?: return 0
    return servers.prefillPaces[exchange.service]?.workIn(milliseconds) ?: 0
}

private fun RelayState.generationPace(exchange: Exchange): GenerationPace =
    forecasts.generation[ForecastsState.ModelOfService(exchange.service, exchange.modelIndex)] ?: GenerationPace()
