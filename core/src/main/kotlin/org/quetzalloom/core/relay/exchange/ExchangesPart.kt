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
        is RelayEvent.AttemptConnected ->
            state.reportDelay("attempt_connected", state.exchanges.currentOrNull(event.exchange, event.attempt), now)
        is RelayEvent.RequestWritten ->
            state.reportDelay("attempt_written", state.exchanges.currentOrNull(event.exchange, event.attempt), now)
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

    /** Logs as [name] how long after its server was chosen an attempt has come so far, and what is known since. */
    private fun RelayState.reportDelay(name: String, current: CurrentAttempt?, now: Timestamp): RelayStep {
        val (exchange, attempt) = current ?: return unchanged()
        val view = servers.views[attempt.server]
        return report(
            now,
            name,
            "request" to exchange.request.callerId,
            "attempt" to attempt.number,
            "server" to attempt.server,
            "after_ms" to (now - attempt.sentAt),
            "listed_ms_ago" to servers.listReadAt?.let { now - it },
            "sequence" to view?.listing?.sequence,
            "wanted" to servers.mayReceive(attempt.server, now),
        )
    }

    private fun RelayState.callerLeft(event: RelayEvent.CallerLeft, now: Timestamp): RelayStep {
        val exchange = exchanges.byId[event.exchange] ?: return unchanged()
        return unchanged().then { it.cancelAttempt(exchange) }
            .then { it.copy(exchanges = it.exchanges.without(exchange.id)).unchanged() }
            .then { it.reportEnd(exchange, "caller_left", now) }
    }
}
