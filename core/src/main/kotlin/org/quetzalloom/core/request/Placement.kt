package org.quetzalloom.core.request

import org.quetzalloom.core.backend.ServerCandidate
import org.quetzalloom.core.backend.hasCapacity
import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the backend server for the next attempt of [request], or `null` if none has room.
 *
 * Backend servers at which it failed before are used only if no other has room. A command may go back to one of them,
 * since it is queued again only if it did not run there. A trial runs at the backend server announced to the peers.
 */
internal fun RouterState.chooseServer(request: ActiveRequest, now: Timestamp): BackendServer? {
    val free = serversFor(request).filter { hasCapacity(it, now) }
    val fresh = free.filter { it.id !in request.failedServers }
    val candidates = if (request.command == null) fresh.ifEmpty { free } else free
    return when {
        isOnTrialHere(request) -> free.firstOrNull { it.id == quarantine.suspicions[request.fingerprint]?.trialServer }
        candidates.isEmpty() -> null
        else -> chooseByLoad(request, candidates)
    }
}

/** Returns the backend servers in service that serve the version of [request] and that this VM may use, by id. */
internal fun RouterState.serversFor(request: ActiveRequest): List<BackendServer> {
    val current = configuration.view.current ?: return emptyList()
    return backends.subset.keys.mapNotNull { current.backendServers[it] }
        .filter { request.version in it.versions && current.isInService(it) }
        .sortedBy { it.id }
}

private fun RouterState.chooseByLoad(request: ActiveRequest, candidates: List<BackendServer>): BackendServer {
    val rated = candidates.map { ServerCandidate(it.id, load(it), sameZone = it.zone == settings.zone) }
    val seed = stableHash(request.id, request.attemptCount, settings.incarnation)
    val chosen = settings.policies.serverChoice.choose(rated, seed)
    return candidates.first { it.id == chosen.server }
}

/** Returns the load as a share of capacity, from the last report or from the attempts of this VM if those are more. */
private fun RouterState.load(server: BackendServer): Double {
    val health = backends.healthOf(server.id)
    return maxOf(health.reportedRunning, health.running).toDouble() / server.capacity
}
