package org.quetzalloom.core.request

import org.quetzalloom.core.backend.ServerCandidate
import org.quetzalloom.core.backend.hasRoom
import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

/** Returns the backend server that takes [request] now, or `null` if none has room. */
internal fun RouterState.chooseServer(request: ActiveRequest, now: Timestamp): BackendServer? {
    val free = serversFor(request).filter { hasRoom(it, now) }
    val fresh = free.filter { it.id !in request.failedServers }
    val candidates = if (request.command == null) fresh.ifEmpty { free } else free
    return when {
        isOnTrialHere(request) -> free.firstOrNull { it.id == quarantine.suspicions[request.fingerprint]?.trialAt }
        candidates.isEmpty() -> null
        else -> chooseByLoad(request, candidates)
    }
}

/** Returns the backend servers in service that this VM may send [request] to, in a fixed order. */
internal fun RouterState.serversFor(request: ActiveRequest): List<BackendServer> {
    val current = configuration.view.current ?: return emptyList()
    return backends.homes.keys.mapNotNull { current.backendServers[it] }
        .filter { request.version in it.versions && current.isInService(it) }
        .sortedBy { it.id }
}

private fun RouterState.chooseByLoad(request: ActiveRequest, candidates: List<BackendServer>): BackendServer {
    val rated = candidates.map { ServerCandidate(it.id, load(it), sameZone = it.zone == settings.zone) }
    val seed = stableHash(request.id, request.attemptCount, settings.incarnation)
    val chosen = settings.policies.serverChoice.choose(rated, seed)
    return candidates.first { it.id == chosen.server }
}

private fun RouterState.load(server: BackendServer): Double {
    val health = backends.healthOf(server.id)
    return maxOf(health.reportedRunning, health.running).toDouble() / server.capacity
}
