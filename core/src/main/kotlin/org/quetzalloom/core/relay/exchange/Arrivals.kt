package org.quetzalloom.core.relay.exchange

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.map
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.model.ModelLatencyEstimate
import org.quetzalloom.core.relay.model.ModelOutlook
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.routing.Route
import org.quetzalloom.core.relay.routing.RoutingTable
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.stop.mayAdmitWhileStopping
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.time.Timestamp

/** A request may wait for a backend server for its time left divided by this; the rest is needed to answer it. */
internal const val QUEUE_TIME_DIVISOR = 4

/** The retry-after time before the first configuration, which the router reads as soon as it starts. */
private const val NOT_READY_RETRY_MILLISECONDS = 200L

/**
 * The retry-after time before the first configuration while the store does not answer. Outages last for seconds, and
 * callers retry once or twice and wait for at most a third of their time.
 */
private const val STORE_UNAVAILABLE_RETRY_MILLISECONDS = 2_000L

/**
 * The retry-after time while this router shuts down. Another router can serve the caller at once, though the caller's
 * next connection may still reach this one.
 */
internal const val SHUTTING_DOWN_RETRY_MILLISECONDS = 50L

/** The refusal of a request that has not run, because this router shuts down. */
internal val SHUTTING_DOWN =
    RouterError(ErrorKind.SHUTTING_DOWN, "this router is shutting down before the request could finish")

private class Admission(val route: Route, val workspace: WorkspaceId?)

/** Returns the transition that admits the request of [event] and places it at a backend server, or refuses it. */
internal fun RelayState.admitOrRefuse(event: RelayEvent.RequestArrived, now: Timestamp): RelayStep =
    admit(event.request, now).fold(
        success = { startExchange(event, it, now) },
        failure = { refuseArrival(event, it, now) },
    )

private fun RelayState.admit(request: RelayRequest, now: Timestamp): Result<Admission, RouterError> =
    routingOrError().andThen { table ->
        table.find(request).andThen { route ->
            table.authenticate(request, route).map { Admission(route, it) }
        }
    }.andThen { admission ->
        if (mayAdmitWhileStopping(request, admission.route, now)) Ok(admission) else Err(SHUTTING_DOWN)
    }

private fun RelayState.routingOrError(): Result<RoutingTable, RouterError> =
    routing?.let { Ok(it) } ?: Err(RouterError(ErrorKind.NOT_READY, "no configuration has been read yet"))

private fun RoutingTable.find(request: RelayRequest): Result<Route, RouterError> =
    routeOrNull(request.host, request.path)?.let { Ok(it) }
        ?: Err(RouterError(ErrorKind.UNKNOWN_TARGET, "no route for this host and path"))

private fun RoutingTable.authenticate(request: RelayRequest, route: Route): Result<WorkspaceId?, RouterError> {
    val keys = workspacesByKey ?: return Ok(null)
    val workspace = request.key?.let { keys[it] }
    return if (workspace != null || route.public) {
        Ok(workspace)
    } else {
        Err(RouterError(ErrorKind.UNAUTHENTICATED, "the key is missing or unknown"))
    }
}

private fun RelayState.refuseArrival(event: RelayEvent.RequestArrived, error: RouterError, now: Timestamp): RelayStep {
    val retryAfter = when (error.kind) {
        ErrorKind.NOT_READY ->
            if (storePath.failures > 0) STORE_UNAVAILABLE_RETRY_MILLISECONDS else NOT_READY_RETRY_MILLISECONDS
        ErrorKind.SHUTTING_DOWN -> SHUTTING_DOWN_RETRY_MILLISECONDS
        else -> null
    }
    return with(RelayEffect.Refuse(event.exchange, error.kind, error.detail, retryAfter)).then {
        it.report(
            now,
            "request_refused",
            "request" to event.request.callerId,
            "kind" to error.kind.code,
            "version" to routing?.version,
            "applied_ms_ago" to routingAppliedAt?.let { now - it },
            "orders_read_ms_ago" to feedAge(Feed.ORDERS, now),
            "orders_reader" to feeds.of(Feed.ORDERS).reader,
            "host" to event.request.host,
            "path" to event.request.path,
        )
    }
}

private fun RelayState.startExchange(
    event: RelayEvent.RequestArrived,
    admission: Admission,
    now: Timestamp,
): RelayStep {
    val request = event.request
    val route = admission.route
    val timeLimit = minOf(request.timeLeftMilliseconds ?: Long.MAX_VALUE, route.timeoutMilliseconds)
    val exchange = Exchange(
        id = event.exchange,
        request = request,
        route = route,
        service = route.pickService(request),
        workspace = admission.workspace,
        arrivedAt = now,
        deadlineAt = now + timeLimit,
        waitUntil = now + timeLimit / QUEUE_TIME_DIVISOR,
        lastEventId = request.lastEventId,
        runs = request.earlierRuns ?: 0,
    )
    val counted = countRequest(exchange, now)
    val outlook = counted.outlookOnArrival(exchange, now)
    val withModel = exchange.copy(
        modelIndex = outlook?.let { policies.modelChoice.firstModel(exchange.route, request, it) } ?: 0,
    )
    val next = counted.copy(exchanges = counted.exchanges.with(withModel))
    return next.reportFirstModel(withModel, outlook, now).then { it.placeOrWait(withModel, now) }
}

/** Returns the outlook for [exchange], or `null` if the router does not choose the model. */
private fun RelayState.outlookOnArrival(exchange: Exchange, now: Timestamp): ModelOutlook? {
    if (!exchange.request.routerChoosesModel) return null
    val maySendAgain = hasRetryBudget(exchange, now, SECOND_RESPONSE_RESERVED_SHARE)
    val latencies = if (maySendAgain) null else latencyEstimateOrNull(exchange, now)
    return ModelOutlook(latencies ?: ModelLatencyEstimate(), confidenceGains, maySendAgain)
}

private fun RelayState.reportFirstModel(exchange: Exchange, outlook: ModelOutlook?, now: Timestamp): RelayStep {
    if (outlook == null || outlook.allowsSecondResponse) return unchanged()
    return report(
        now,
        "single_response",
        "request" to exchange.request.callerId,
        "model" to exchange.modelName,
        "queue_ms" to outlook.latencies.queueMilliseconds,
        "median_queue_ms" to outlook.latencies.medianQueueMilliseconds,
        "largest_after_ms" to outlook.latencies.startMilliseconds(exchange.route.models.lastIndex),
    )
}

/**
 * Returns a service of the route, chosen by weight and by a hash of the id that the caller gave the request, or of the
 * path if it gave none. Returns the first service if all weights are 0.
 */
private fun Route.pickService(request: RelayRequest): ServiceName {
    val total = splits.sumOf { it.weight }
    if (splits.size == 1 || total <= 0) return splits.first().service
    val point = bucketOf(request.callerId ?: request.path, total)
    val upperBounds = splits.runningFold(0) { sum, split -> sum + split.weight }.drop(1)
    return splits[upperBounds.indexOfFirst { point < it }].service
}
