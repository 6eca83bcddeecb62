package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.crash.quarantinedKeys
import org.quetzalloom.core.relay.handover.handoverRouterOrNull
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.server.afterFailure
import org.quetzalloom.core.relay.server.afterFurtherSilence
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the transition that handles a pause of a response: moves the request to another backend server if one can
 * take it now. Otherwise the attempt goes on until the deadline, as its server may only be slow, and nothing else can
 * answer the request. Events of attempts that are no longer current change nothing.
 */
internal fun RelayState.attemptStalled(event: RelayEvent.AttemptStalled, now: Timestamp): RelayStep {
    val current = exchanges.currentOrNull(event.exchange, event.attempt) ?: return unchanged()
    val (exchange, attempt) = current
    val failed = RelayEvent.AttemptFailed(exchange.id, attempt.number, AttemptFailure.SILENT, event.lastEventId)
    return if (mayMove(current, now)) {
        with(RelayEffect.CancelAttempt(exchange.id, attempt.number)).then { it.attemptFailed(failed, now) }
    } else {
        keepWaiting(exchange, attempt, now)
    }
}

/** Returns whether another backend server can take the request of [current], whose response pauses. */
internal fun RelayState.mayMove(current: CurrentAttempt, now: Timestamp): Boolean {
    val (exchange, attempt) = current
    val elsewhere = exchange.copy(triedServers = exchange.triedServers.add(attempt.server))
    return (!exchange.headForwarded || exchange.route.resumable) &&
        mayRunOnceMore(exchange, now) &&
        quarantinedKeys(exchange).isEmpty() &&
        (chooseServerOrNull(elsewhere, now) != null || handoverRouterOrNull(elsewhere) != null)
}

/** Returns the transition after which the server of [attempt] is suspect; it gets no other requests for a while. */
private fun RelayState.keepWaiting(exchange: Exchange, attempt: Attempt, now: Timestamp): RelayStep {
    val next = copy(
        exchanges = exchanges.with(exchange.copy(attempt = attempt.copy(stalled = true))),
        servers = servers.update(attempt.server) {
            if (attempt.stalled) it.afterFurtherSilence(now) else it.afterFailure(AttemptFailure.SILENT, now)
        },
    )
    if (attempt.stalled) return next.unchanged()
    return next.report(
        now,
        "attempt_stalled",
        "request" to exchange.request.callerId,
        "attempt" to attempt.number,
        "server" to attempt.server,
        "after_ms" to (now - attempt.sentAt),
        "passing" to exchange.headForwarded,
        "runs" to exchange.runs,
        "retry_budget" to hasRetryBudget(exchange, now),
    )
}
