package org.quetzalloom.core.relay.handover

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.exchange.SendParameters
import org.quetzalloom.core.relay.exchange.countRetry
import org.quetzalloom.core.relay.exchange.idleTimeoutOrNull
import org.quetzalloom.core.relay.peer.PeerBeacon
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.routing.Route
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

/** The maximum number of routers to which a request is handed over. */
private const val MAXIMUM_HANDOVERS = 3

/** The maximum number of connections to one other router. */
private const val MAXIMUM_CONNECTIONS = 256

/** The start timeout of a response from another router: as many targets, and time for its own first failed attempt. */
private const val START_TARGETS = 2
private const val START_ALLOWANCE_MILLISECONDS = 500L

/**
 * Returns the last beacon of a router to which [exchange] can be handed over, or `null` if it need not or cannot be:
 * this router reaches a server of its service, it was handed over by another router already, or no other router is
 * known to accept it. Requests are spread over the routers by their ids.
 */
internal fun RelayState.handoverRouterOrNull(exchange: Exchange): PeerBeacon? {
    val mayHandOver = reach.isCutOff(exchange.service) && exchange.request.earlierRuns == null &&
        exchange.failedRouters.size < MAXIMUM_HANDOVERS
    if (!mayHandOver) return null
    return peers.lastBeacons.values.map { it.beacon }
        .filter { it.callerPort != null && it.vm in members.addresses && it.vm !in exchange.failedRouters }
        .minByOrNull { stableHash(it.vm, exchange.request.callerId ?: exchange.id) }
}

/** Returns the transition that hands [exchange] over to the sender of [beacon]. */
internal fun RelayState.handOver(exchange: Exchange, beacon: PeerBeacon, now: Timestamp): RelayStep {
    val handover = Handover(number = exchange.attempts + 1, router = beacon.vm, sentAt = now)
    val sent = exchange.copy(attempt = null, handover = handover, attempts = handover.number)
    val host = members.addresses[beacon.vm].orEmpty().substringBeforeLast(':')
    val parameters = handoverParameters(exchange, address = "$host:${beacon.callerPort}", now)
    val send = RelayEffect.Send(exchange.id, handover.number, parameters)
    // An attempt that has not run did not arrive at a backend server, so that this is not one more for the service.
    val counted = if (exchange.mayHaveRun) countRetry(exchange, now) else exchanges
    return copy(exchanges = counted.with(sent)).with(send).then {
        it.report(
            now,
            "request_handed_over",
            "request" to exchange.request.callerId,
            "attempt" to handover.number,
            "router" to handover.router,
            "service" to exchange.service,
            "time_left_ms" to (exchange.deadlineAt - now),
            "runs" to exchange.runs,
            "last_event_id" to exchange.lastEventId,
        )
    }
}

private fun handoverParameters(exchange: Exchange, address: String, now: Timestamp): SendParameters {
    val route = exchange.route
    return SendParameters(
        server = null,
        address = address,
        maximumConnections = MAXIMUM_CONNECTIONS,
        timeLeftMilliseconds = (exchange.deadlineAt - now).coerceAtLeast(1),
        workspace = null,
        model = null,
        lastEventId = exchange.lastEventId,
        streaming = route.streaming,
        resumable = route.resumable,
        startTimeoutMilliseconds = startTimeoutOrNull(route),
        idleTimeoutMilliseconds = idleTimeoutOrNull(route),
        requiresLiveConnection = true,
        earlierRuns = exchange.runs,
    )
}

private fun startTimeoutOrNull(route: Route): Long? =
    if (route.mayRunAgain) route.targetMilliseconds * START_TARGETS + START_ALLOWANCE_MILLISECONDS else null
