package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Handles the life cycle of each request, from its arrival through its attempts to its single response. Also applies
 * changed settings.
 */
internal object ExchangesPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.RequestArrived -> state.admitOrRefuse(event, now)
        is RelayEvent.ResponseStarted -> state.responseStarted(event, now)
        is RelayEvent.ResponseProgressed -> state.responseProgressed(event)
        is RelayEvent.ResponseFinished -> state.responseFinished(event, now)
        is RelayEvent.AttemptFailed -> state.attemptFailed(event, now)
        is RelayEvent.AttemptStalled -> state.attemptStalled(event, now)
        is RelayEvent.CallerLeft -> state.callerLeft(event, now)
        is RelayEvent.SettingsChanged -> state.copy(settings = event.settings).report(now, "settings_changed")
        RelayEvent.Tick -> state.expireAndPlace(now)
        else -> state.unchanged()
    }

    private fun RelayState.callerLeft(event: RelayEvent.CallerLeft, now: Timestamp): RelayStep {
        val exchange = exchanges.byId[event.exchange] ?: return unchanged()
        return unchanged().then { it.cancelAttempt(exchange) }
            .then { it.copy(exchanges = it.exchanges.without(exchange.id)).unchanged() }
            .then { it.reportEnd(exchange, "caller_left", now) }
    }
}
