package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.server.takeEnd
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/** The time after which a caller may come back when no backend server could take its request. */
private const val NO_CAPACITY_RETRY_MILLISECONDS = 250L

/** Returns the transition that gives up the attempt of [exchange] that is under way, if there is one. */
internal fun RelayState.cancelAttempt(exchange: Exchange): RelayStep {
    val attempt = exchange.attempt ?: return unchanged()
    return release(attempt)
        .copy(exchanges = exchanges.with(exchange.copy(attempt = null)))
        .with(RelayEffect.Abandon(exchange.id, attempt.number))
}

/** Returns the state in which the backend server of [attempt] has one request less. */
internal fun RelayState.release(attempt: Attempt): RelayState = copy(
    servers = servers.update(attempt.server) { it.takeEnd(attempt.work) },
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
    "confidence" to exchange.escalation?.confidence,
    "largest_after_ms" to exchange.escalation?.largestModelStartMilliseconds,
    "server" to exchange.attempt?.server,
    *fields,
)

/** Returns the transition that ends [exchange], for which no backend server is left. */
internal fun RelayState.giveUp(exchange: Exchange, now: Timestamp): RelayStep = when {
    exchange.headForwarded -> cutOff(exchange, "no_server", now)
    exchange.mayHaveRun ->
        failExchange(exchange, ErrorKind.BACKEND_FAILED, "no backend server gave a whole answer", now)
    else -> failExchange(exchange, ErrorKind.NO_CAPACITY, "no backend server could take the request", now)
}

/** Returns the transition that answers [exchange] with an error of the relay's own. */
internal fun RelayState.failExchange(exchange: Exchange, kind: ErrorKind, detail: String, now: Timestamp): RelayStep {
    val retryAfter = NO_CAPACITY_RETRY_MILLISECONDS.takeIf { kind.notRun && kind.retryable }
    return copy(exchanges = exchanges.without(exchange.id))
        .with(RelayEffect.Refuse(exchange.id, kind, detail, retryAfter))
        .then { it.reportEnd(exchange, "refused", now, "kind" to kind.code) }
}

/** Returns the transition that breaks off the answer of [exchange], which the caller has in part. */
internal fun RelayState.cutOff(exchange: Exchange, reason: String, now: Timestamp): RelayStep =
    copy(exchanges = exchanges.without(exchange.id))
        .with(RelayEffect.CutOff(exchange.id))
        .then { it.reportEnd(exchange, "cut_off", now, "reason" to reason) }
