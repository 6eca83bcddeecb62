package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.admission.waitOrGiveUp
import org.quetzalloom.core.relay.crash.mayTry
import org.quetzalloom.core.relay.crash.noteTrial
import org.quetzalloom.core.relay.crash.quarantinedKeys
import org.quetzalloom.core.relay.crash.refuseQuarantined
import org.quetzalloom.core.relay.forecast.forecastOrNull
import org.quetzalloom.core.relay.forecast.generationWork
import org.quetzalloom.core.relay.handover.handOver
import org.quetzalloom.core.relay.handover.handoverRouterOrNull
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.server.PlacementRequest
import org.quetzalloom.core.relay.server.ServerView
import org.quetzalloom.core.relay.server.afterSend
import org.quetzalloom.core.relay.server.connectionShare
import org.quetzalloom.core.relay.server.toCandidate
import org.quetzalloom.core.relay.session.pin
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.urgency.urgencyRank
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the transition that sends [exchange] to the backend server that the placement policy chooses, or hands it
 * over to another router if this one reaches no server of its service. If nothing can take it, the exchange waits, or
 * ends once it has waited for too long. An exchange whose content is quarantined ends at once, unless it is sent as a
 * trial.
 *
 * Every attempt after the first counts against the retry budget, which is not checked here.
 */
internal fun RelayState.placeOrWait(exchange: Exchange, now: Timestamp): RelayStep {
    val quarantined = quarantinedKeys(exchange)
    return when {
        quarantined.isEmpty() -> place(exchange, now)
        quarantined.all { mayTry(it, now) } -> place(exchange, now).then {
            val sent = it.exchanges.byId[exchange.id]?.attempt != null
            if (sent) it.noteTrial(exchange, quarantined, now) else it.unchanged()
        }
        else -> refuseQuarantined(exchange, quarantined, now)
    }
}

private fun RelayState.place(exchange: Exchange, now: Timestamp): RelayStep {
    val router = handoverRouterOrNull(exchange)
    val view = if (router == null) chooseServerOrNull(exchange, now) else null
    return when {
        router != null -> handOver(exchange, router, now)
        view != null -> send(exchange, view, now)
        else -> waitOrGiveUp(exchange, now)
    }
}

/** Returns the backend server that the placement policy chooses for [exchange], or `null` if none can take it. */
internal fun RelayState.chooseServerOrNull(exchange: Exchange, now: Timestamp): ServerView? {
    // The work of the exchange itself is left out, as it is the same at each candidate.
    val candidates = untriedServers(exchange, now).map { it.toCandidate(workUntilResponse(it, work = 0), now) }
    val chosen = policies.placement.chooseOrNull(candidates, placementRequest(exchange))
    return chosen?.let { servers.views[it.server] }
}

private fun RelayState.placementRequest(exchange: Exchange): PlacementRequest = PlacementRequest(
    sharedPart = exchange.request.sharedPartOrNull,
    work = policies.workEstimate.of(exchange.request, exchange.modelIndex),
    generationWork = generationWork(exchange),
    seed = (exchange.request.callerId ?: exchange.request.path) + exchange.attempts,
    zone = settings.zone,
)

private fun RelayState.send(exchange: Exchange, view: ServerView, now: Timestamp): RelayStep {
    val work = policies.workEstimate.of(exchange.request, exchange.modelIndex)
    val attempt = Attempt(
        number = exchange.attempts + 1,
        server = view.listing.id,
        version = view.listing.version,
        modelIndex = exchange.modelIndex,
        sentAt = now,
        workUntilResponse = workUntilResponse(view, work),
        pendingWork = work,
        forecast = if (work > 0) forecastOrNull(exchange, view, now) else null,
    )
    val sent = exchange.copy(attempt = attempt, attempts = attempt.number)
    val next = pin(exchange, attempt.version, now).copy(
        exchanges = countRetry(exchange, now).with(sent),
        servers = servers.update(view.listing.id) { it.afterSend(attempt.pendingWork, now) },
    )
    return next.with(RelayEffect.Send(exchange.id, attempt.number, sendParameters(exchange, view, attempt, now)))
        .then { it.reportSend(sent, view, now) }
}

/**
 * Returns the state in which [exchange] allows retries of its service. A request that another router has handed over
 * allows them there.
 */
internal fun RelayState.countRequest(exchange: Exchange, now: Timestamp): RelayState {
    if (exchange.request.earlierRuns != null) return this
    val budget = (exchanges.budgets[exchange.service] ?: RetryBudget()).countRequest(now)
    return copy(exchanges = exchanges.copy(budgets = exchanges.budgets.put(exchange.service, budget)))
}

/** Returns the exchanges after one more attempt of [exchange]; all after its first are retries. */
internal fun RelayState.countRetry(exchange: Exchange, now: Timestamp): ExchangesState {
    if (exchange.attempts == 0) return exchanges
    val budget = (exchanges.budgets[exchange.service] ?: RetryBudget()).countRetry(now)
    return exchanges.copy(budgets = exchanges.budgets.put(exchange.service, budget))
}

private fun RelayState.reportSend(exchange: Exchange, view: ServerView, now: Timestamp): RelayStep = report(
    now,
    "attempt_sent",
    "request" to exchange.request.callerId,
    "attempt" to exchange.attempts,
    "server" to view.listing.id,
    "configuration" to routing?.version,
    "listed_ms_ago" to servers.listReadAt?.let { now - it },
    "time_left_ms" to (exchange.deadlineAt - now),
    "server_version" to view.listing.version,
    "model" to exchange.modelName,
    "in_flight" to view.inFlight,
    "load" to view.loadAt(now),
    "sequence" to view.listing.sequence,
    "service" to exchange.service,
    "last_event_id" to exchange.lastEventId,
    "shared_parts" to exchange.request.sharedParts.takeIf { it.isNotEmpty() }?.joinToString(",") { it.id },
)

private fun RelayState.sendParameters(
    exchange: Exchange,
    view: ServerView,
    attempt: Attempt,
    now: Timestamp,
): SendParameters {
    val route = exchange.route
    return SendParameters(
        server = view.listing.id,
        address = view.listing.address,
        maximumConnections = connectionShare(exchange.service),
        timeLeftMilliseconds = (exchange.deadlineAt - now).coerceAtLeast(1),
        workspace = exchange.workspace,
        model = exchange.modelName,
        lastEventId = exchange.lastEventId,
        streaming = route.streaming,
        resumable = route.resumable,
        startTimeoutMilliseconds = startTimeoutOrNull(exchange, attempt),
        idleTimeoutMilliseconds = idleTimeoutOrNull(route),
        requiresLiveConnection = !route.mayRunAgain,
        urgency = if (attempt.pendingWork > 0) urgencyRank(exchange, now) else null,
    )
}
