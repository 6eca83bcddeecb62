package org.quetzalloom.core.request

import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.session.assignVersion
import org.quetzalloom.core.session.assignedVersionOrNull
import org.quetzalloom.core.time.Timestamp

/** Returns the transition that stores [request], without effects. */
internal fun RouterState.put(request: ActiveRequest): Step = copy(requests = requests.put(request)).unchanged()

/** Advances each waiting request whose condition is met or whose wait has timed out, in order of id. */
internal fun RouterState.advanceAll(now: Timestamp): Step =
    requests.waiting.sorted().fold(unchanged()) { transition, id ->
        transition.then { state -> state.requests.active[id]?.let { state.advance(it, now) } ?: state.unchanged() }
    }

private fun RouterState.advance(request: ActiveRequest, now: Timestamp): Step = when (val phase = request.phase) {
    is Phase.AwaitingSession -> advanceSession(request, phase, now)
    is Phase.AwaitingIntent, is Phase.AwaitingOutcome -> advanceCommand(request, now)
    is Phase.AwaitingCrashCheck ->
        if (now - phase.since < settings.limits.crashCheckTimeoutMilliseconds) {
            unchanged()
        } else {
            recordCrash(request, phase.server, now)
        }
    is Phase.AwaitingTrialConsent -> advanceTrialConsent(request, phase, now)
    is Phase.AwaitingTrial -> startTrialOrWait(request, now)
    is Phase.AwaitingBill -> advanceBill(request, phase, now)
    is Phase.Queued -> if (hasLostTrialServer(request)) startTrialOrWait(request, now) else unchanged()
    is Phase.Running -> unchanged()
}

/**
 * Queues [request] once the version of its session is known, as assigned by the session's home VM: the VM that
 * rendezvous hashing picks for the session.
 *
 * The request runs on that version if its target selects it, else on the version chosen for the request. If no answer
 * comes within `sessionAnswerTimeoutMilliseconds`, this VM assigns the version chosen for the request to the session.
 */
private fun RouterState.advanceSession(request: ActiveRequest, phase: Phase.AwaitingSession, now: Timestamp): Step {
    val key = request.sessionKey ?: return put(request.copy(phase = Phase.Queued))
    val assigned = assignedVersionOrNull(key)
    return when {
        assigned != null && matchesTarget(request, assigned) ->
            put(request.pinnedTo(assigned).copy(phase = Phase.Queued))
        assigned != null -> put(request.copy(phase = Phase.Queued))
        now - phase.since < settings.limits.sessionAnswerTimeoutMilliseconds -> unchanged()
        else -> assignVersion(key, request.version, now).then {
            it.put(request.pinnedTo(request.version).copy(phase = Phase.Queued))
        }
    }
}

/** Returns whether the target of [request] selects [version]. */
private fun RouterState.matchesTarget(
    request: ActiveRequest,
    version: VersionId,
): Boolean = configuration.view.current?.versions?.get(version)?.let { request.call.target.matches(it) } == true
