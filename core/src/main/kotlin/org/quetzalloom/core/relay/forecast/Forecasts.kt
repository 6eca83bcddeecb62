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
    val pace = servers.prefillPaces[exchange.service] ?: PrefillPace()
    val load = ServerLoad(
        slots = view.listing.slots,
        requests = view.loadAt(now),
        workAhead = workUntilResponse(view, work = 0),
        slowness = view.slowness.factorAt(now),
        report = view.loadReport,
    )
    return PrefillForecast(pace).ofOrNull(load, ForecastRequest(work))
}
