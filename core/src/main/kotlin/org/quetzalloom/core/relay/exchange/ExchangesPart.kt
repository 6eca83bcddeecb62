package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/** Leads each request from its arrival to its one answer. */
internal object ExchangesPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.RequestArrived -> state.arrive(event, now)
        is RelayEvent.AnswerStarted -> state.answerStarted(event, now)
        is RelayEvent.AnswerFinished -> state.answerFinished(event, now)
        is RelayEvent.AttemptBroke -> state.attemptBroke(event, now)
        is RelayEvent.CallerLeft -> state.callerLeft(event, now)
        is RelayEvent.SettingsChanged -> state.copy(settings = event.settings).report(now, "settings_changed")
        RelayEvent.Tick -> state.checkTimes(now)
        else -> state.unchanged()
    }

    private fun RelayState.callerLeft(event: RelayEvent.CallerLeft, now: Timestamp): RelayStep {
        val exchange = exchanges.byId[event.exchange] ?: return unchanged()
        return unchanged().then { it.abandon(exchange) }
            .then { it.copy(exchanges = it.exchanges.without(exchange.id)).unchanged() }
            .then { it.reportEnd(exchange, "caller_left", now) }
    }
}

/** Returns the transition that gives up the attempt of [exchange] that is under way, if there is one. */
internal fun RelayState.abandon(exchange: Exchange): RelayStep {
    val attempt = exchange.attempt ?: return unchanged()
    return release(attempt)
        .copy(exchanges = exchanges.with(exchange.copy(attempt = null)))
        .with(RelayEffect.Abandon(exchange.id, attempt.number))
}

/** Returns the state in which the backend server of [attempt] has one request less. */
internal fun RelayState.release(attempt: Attempt): RelayState = copy(
    servers = servers.update(attempt.server) { it.copy(inFlight = (it.inFlight - 1).coerceAtLeast(0)) },
)

/** Returns the transition that reports how [exchange] ended. */
internal fun RelayState.reportEnd(
    exchange: Exchange,
    outcome: String,
    now: Timestamp,
    vararg fields: Pair<String, Any?>,
): RelayStep = report(
    now,
    "request_ended",
    "request" to exchange.request.callerId,
    "outcome" to outcome,
    "route" to exchange.route.name,
    "after_ms" to (now - exchange.arrivedAt),
    "attempts" to exchange.attempts,
    "may_have_run" to exchange.mayHaveRun,
    "model" to exchange.modelName,
    "server" to exchange.attempt?.server,
    *fields,
)
