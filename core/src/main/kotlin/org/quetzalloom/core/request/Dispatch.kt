package org.quetzalloom.core.request

import com.github.michaelbull.result.mapBoth
import org.quetzalloom.core.backend.AttemptOrder
import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.session.assignVersion
import org.quetzalloom.core.time.Timestamp

/**
 * Dispatches the queued requests in order of priority, then of arrival. Those for which no backend server has room stay
 * queued.
 */
internal fun RouterState.dispatchAll(now: Timestamp): Step {
    val queued = requests.waiting.mapNotNull { requests.active[it] }.filter { it.phase == Phase.Queued }
    if (queued.isEmpty()) return unchanged()
    val ordered = queued.sortedWith(compareBy({ it.call.priority }, { it.arrivedAt }, { it.id }))
    return ordered.fold(unchanged()) { transition, request -> transition.then { it.dispatch(request, now) } }
}

/**
 * Starts an attempt of [request], or leaves it queued if no backend server has room.
 *
 * Refuses it if its deadline has passed, or if its attempts are used up and one of them may have run. Moves it to
 * another version if it may no longer use its own.
 */
private fun RouterState.dispatch(request: ActiveRequest, now: Timestamp): Step = when {
    now >= request.deadline -> expireWaiting(request, now)
    !mayUse(request.call.workspace, request.version) -> reassignVersion(request, now)
    request.mayHaveRun && request.attemptCount >= settings.limits.triesPerRequest ->
        refuse(request, ErrorKind.BACKEND_FAILED, "${request.attemptCount} attempts failed", now)
    else -> chooseServer(request, now)?.let { startAttempt(request, it, now) } ?: unchanged()
}

/**
 * Moves [request] to another version, because its own may no longer be used.
 *
 * Refuses it if part of the answer was delivered, since another version would not continue the same answer.
 */
private fun RouterState.reassignVersion(request: ActiveRequest, now: Timestamp): Step {
    val current = configuration.view.current
    return when {
        current == null -> unchanged()
        request.deliveredTokens > 0 -> refuse(
            request,
            ErrorKind.BACKEND_FAILED,
            "version '${request.version}' may no longer be used, and part of its answer has been sent",
            now,
        )
        else -> current.versionsFor(request.call).mapBoth(
            success = { moveToOneOf(request, it, now) },
            failure = { refuse(request, it.kind, it.detail, now) },
        )
    }
}

/**
 * Moves [request] to one of the [usable] versions and dispatches it again. If the request is pinned, the new version is
 * assigned to its session too.
 */
private fun RouterState.moveToOneOf(request: ActiveRequest, usable: List<Version>, now: Timestamp): Step {
    val subject = request.sessionKey?.toString() ?: request.id.value
    val moved = request.copy(
        version = chooseVersion(request.call, usable, subject),
        failedServers = request.failedServers.clear(),
    )
    val session = request.sessionKey?.takeIf { request.pinned }
    val assigned = session?.let { assignVersion(it, moved.version, now) } ?: unchanged()
    return assigned.then { it.put(moved) }.then { it.dispatch(moved, now) }
}

/** Starts an attempt of [request] at [server]. The attempt resumes the answer after the tokens already delivered. */
private fun RouterState.startAttempt(request: ActiveRequest, server: BackendServer, now: Timestamp): Step {
    val number = requests.attemptsMade + 1
    val attempt = AttemptId("${settings.vm}:${settings.incarnation}:$number")
    val running = request.copy(
        phase = Phase.Running(attempt, server.id, accepted = false, progressAt = now),
        attemptCount = request.attemptCount + 1,
    )
    val order = AttemptOrder(
        attempt = attempt,
        server = server.id,
        address = server.address,
        version = request.version,
        target = request.call.target,
        body = request.call.body,
        priority = request.call.priority,
        resumeFrom = request.deliveredTokens,
        fencing = request.fencing,
        scope = request.command?.toString(),
    )
    return withAttemptStarted(server.id, attempt, running)
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

private fun RouterState.withAttemptStarted(
    server: BackendServerId,
    attempt: AttemptId,
    request: ActiveRequest,
): RouterState {
    val counted = backends.withHealth(server) {
        it.copy(running = it.running + 1, unaccepted = it.unaccepted + 1)
    }
    val next = requests.put(request).copy(
        attempts = requests.attempts.put(attempt, request.id),
        attemptsMade = requests.attemptsMade + 1,
    )
    return copy(backends = counted, requests = next)
}
