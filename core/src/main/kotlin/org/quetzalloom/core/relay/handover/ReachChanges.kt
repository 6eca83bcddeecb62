package org.quetzalloom.core.relay.handover

import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.peer.sendBeaconToAll
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.server.ServerView
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** As many servers, or all if there are fewer, rarely fail by themselves while no other one answers. */
private const val UNREACHED_SERVERS = 3

/** The time between two probes. After the end of a cut requests are handed over for about as long. */
internal const val PROBE_INTERVAL_MILLISECONDS = 500L

/** Returns the transition after a server of [service] has reacted to this router. [by] is logged. */
internal fun RelayState.reached(service: ServiceName, by: String, now: Timestamp): RelayStep {
    val known = reach.byService[service] ?: return unchanged()
    val next = copy(reach = ReachState(reach.byService.remove(service)))
    return if (known.cutOffAt == null) {
        next.unchanged()
    } else {
        next.report(now, "servers_reached", "service" to service, "by" to by, "after_ms" to now - known.cutOffAt)
    }
}

/**
 * Returns the transition after [server] has not reacted to this router. A router that reaches no server of one service
 * needs a single server of another one to conclude the same of that.
 */
internal fun RelayState.unreached(service: ServiceName, server: BackendServerId, now: Timestamp): RelayStep {
    val known = reach.of(service).withoutReaction(server, now)
    val needed = if (reach.cutOffServices.isEmpty()) minOf(UNREACHED_SERVERS, wantedServers(service).size) else 1
    if (known.cutOffAt != null || known.unreached.size < needed) {
        return copy(reach = reach.with(service, known)).unchanged()
    }
    val cutOff = known.copy(cutOffAt = now, probeAt = now + PROBE_INTERVAL_MILLISECONDS)
    return copy(reach = reach.with(service, cutOff))
        .report(now, "servers_unreached", "service" to service, "servers" to known.unreached.keys.joinToString(","))
        .then { it.sendBeaconToAll(now) }
}

/** Returns the backend servers of [service] that want requests, whether or not they have failed lately. */
internal fun RelayState.wantedServers(service: ServiceName): List<ServerView> = servers.views.values.filter {
    it.listing.service == service && it.dropAt == null && !it.isLeaving &&
        it.listing.zone !in servers.evacuatedZones
}
