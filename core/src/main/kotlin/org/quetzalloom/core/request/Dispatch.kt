package org.quetzalloom.core.request

import com.github.michaelbull.result.getOrElse
import org.quetzalloom.core.backend.AttemptOrder
import org.quetzalloom.core.backend.ServerCandidate
import org.quetzalloom.core.backend.hasRoom
import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.rendezvousOrNull
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/** Starts as many queued requests as there is room for, the most urgent and then the oldest first. */
internal fun RouterState.dispatchAll(now: Timestamp): Step {
    val queued = requests.waiting.mapNotNull { requests.active[it] }.filter { it.phase == Phase.Queued }
    if (queued.isEmpty()) return unchanged()
    val ordered = queued.sortedWith(compareBy({ it.call.priority }, { it.arrivedAt }, { it.id }))
    return ordered.fold(unchanged()) { reached, request -> reached.then { it.dispatch(request, now) } }
}

private fun RouterState.dispatch(request: ActiveRequest, now: Timestamp): Step = when {
    !mayUse(request.call.workspace, request.version) -> reassign(request, now)
    request.mayHaveRun && request.tries >= settings.limits.triesPerRequest ->
        refuse(request, ErrorKind.BACKEND_FAILED, "${request.tries} attempts failed", now)
    else -> chooseServer(request, now)?.let { start(request, it, now) } ?: unchanged()
}

/** Finds another version for a request whose version may no longer be used. */
private fun RouterState.reassign(request: ActiveRequest, now: Timestamp): Step {
    val current = configuration.view.current ?: return unchanged()
    if (request.delivered > 0) {
        return refuse(request, ErrorKind.BACKEND_FAILED, "version '${request.version}' was withdrawn half-way", now)
    }
    val usable = current.versionsFor(request.call).getOrElse { return refuse(request, it.kind, it.detail, now) }
    val subject = request.sessionKey?.toString() ?: request.id.value
    val moved = request.copy(version = chooseVersion(request.call, usable, subject), tried = request.tried.clear())
    return put(moved).then { it.dispatch(moved, now) }
}

private fun RouterState.chooseServer(request: ActiveRequest, now: Timestamp): BackendServer? {
    val free = serversFor(request).filter { hasRoom(it, now) }
    val fresh = free.filter { it.id !in request.tried }
    val candidates = if (request.command == null) fresh.ifEmpty { free } else free
    return when {
        candidates.isEmpty() -> null
        isTrial(request) -> chooseForTrial(request, candidates)
        else -> chooseByLoad(request, candidates)
    }
}

/** Returns the backend servers in service that this VM may send [request] to, in a fixed order. */
private fun RouterState.serversFor(request: ActiveRequest): List<BackendServer> {
    val current = configuration.view.current ?: return emptyList()
    return backends.homes.keys.mapNotNull { current.backendServers[it] }
        .filter { request.version in it.versions && current.isInService(it) }
        .sortedBy { it.id }
}

private fun RouterState.isTrial(request: ActiveRequest): Boolean =
    quarantine.suspicions[request.fingerprint]?.trialBy == settings.vm

/** Keeps suspected requests apart, so that one that crashes a backend server brings no other under suspicion twice. */
private fun RouterState.chooseForTrial(request: ActiveRequest, candidates: List<BackendServer>): BackendServer? {
    val withTrial = requests.attempts.values.mapNotNull { requests.active[it] }
        .filter { isTrial(it) }
        .mapNotNull { (it.phase as? Phase.Running)?.server }
    val untouched = candidates.filter { it.id !in request.tried && it.id !in withTrial }
    return rendezvousOrNull(untouched.map { it.id }, request.fingerprint)?.let { id -> untouched.first { it.id == id } }
}

private fun RouterState.chooseByLoad(request: ActiveRequest, candidates: List<BackendServer>): BackendServer {
    val rated = candidates.map { ServerCandidate(it.id, load(it), sameZone = it.zone == settings.zone) }
    val seed = stableHash(request.id, request.tries, settings.incarnation)
    val chosen = settings.policies.serverChoice.choose(rated, seed)
    return candidates.first { it.id == chosen.server }
}

private fun RouterState.load(server: BackendServer): Double {
    val health = backends.healthOf(server.id)
    return maxOf(health.reportedRunning, health.running).toDouble() / server.capacity
}

private fun RouterState.start(request: ActiveRequest, server: BackendServer, now: Timestamp): Step {
    val number = requests.attemptsMade + 1
    val attempt = AttemptId("${settings.vm}:${settings.incarnation}:$number")
    val running = request.copy(
        phase = Phase.Running(attempt, server.id, accepted = false, progressAt = now),
        tries = request.tries + 1,
    )
    val order = AttemptOrder(
        attempt = attempt,
        server = server.id,
        address = server.address,
        version = request.version,
        target = request.call.target,
        body = request.call.body,
        priority = request.call.priority,
        resumeFrom = request.delivered,
        fencing = request.fencing,
        scope = request.command?.toString(),
    )
    return startedAt(server.id, attempt, running)
        .with(Effect.OfBackend.Start(order))
        .then {
            it.report(
                now,
                "attempt_started",
                "request" to request.id,
                "attempt" to attempt,
                "server" to server.id,
                "version" to request.version,
            )
        }
}

private fun RouterState.startedAt(server: BackendServerId, attempt: AttemptId, request: ActiveRequest): RouterState {
    val counted = backends.withHealth(server) {
        it.copy(running = it.running + 1, unconfirmed = it.unconfirmed + 1)
    }
    val next = requests.put(request).copy(
        attempts = requests.attempts.put(attempt, request.id),
        attemptsMade = requests.attemptsMade + 1,
    )
    return copy(backends = counted, requests = next)
}
