package org.quetzalloom.core.relay.session

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Renews the version pin of a session (session affinity) when a response ends, and drops pins that are no longer used.
 * [pin] sets a pin when a request is sent.
 */
internal object PinsPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.ResponseFinished -> state.touch(event.exchange, event.attempt, now)
        RelayEvent.Tick ->
            state.copy(pins = state.pins.prune(state.settings.sessionIdleTimeoutMilliseconds, now)).unchanged()
        else -> state.unchanged()
    }

    private fun RelayState.touch(id: ExchangeId, attemptNumber: Int, now: Timestamp): RelayStep {
        val (exchange, attempt) = exchanges.currentOrNull(id, attemptNumber) ?: return unchanged()
        return renewPin(exchange, attempt.version, now).unchanged()
    }
}

/**
 * Returns the state in which the session of [exchange] is pinned to [version], to which the request is sent at [now];
 * the same state if the request belongs to no session. Its part in a roll-out is noted as well.
 */
internal fun RelayState.pin(exchange: Exchange, version: String, now: Timestamp): RelayState {
    val session = exchange.request.session ?: return this
    return renewPin(exchange, version, now).noteCanarySession(exchange.service, session, version)
}

private fun RelayState.renewPin(exchange: Exchange, version: String, now: Timestamp): RelayState {
    val session = exchange.request.session ?: return this
    return copy(pins = pins.touch(ServiceSession(exchange.service, session), version, now))
}
