package org.quetzalloom.core.request

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/** Cancels attempts that make no progress, and refuses requests whose deadline has passed. */
internal fun RouterState.expireAll(now: Timestamp): Step =
    requests.active.keys.sorted().fold(unchanged()) { transition, id ->
        transition.then { state -> state.requests.active[id]?.let { state.expire(it, now) } ?: state.unchanged() }
    }

/**
 * Applies the timeouts to [request].
 *
 * A request that waits for its bill has its complete answer and does not expire. One whose caller has left has no
 * deadline, but its attempt must still make progress.
 */
private fun RouterState.expire(request: ActiveRequest, now: Timestamp): Step {
    val phase = request.phase
    return when {
        phase is Phase.AwaitingBill -> unchanged()
        phase is Phase.Running && isStalled(request, phase, now) -> cancelAndFail(request, phase, now)
        now < request.deadline || request.callerLeft -> unchanged()
        phase is Phase.Running -> expireRunning(request, phase, now)
        else -> expireWaiting(request, now)
    }
}

/**
 * Returns whether the attempt has been silent for its timeout, which differs for a service, for the first token of an
 * engine's answer and for later tokens. An attempt that resumes an answer has the timeout for later tokens at once.
 */
private fun RouterState.isStalled(request: ActiveRequest, phase: Phase.Running, now: Timestamp): Boolean {
    val timeout = when {
        request.call.target is Target.ServiceCall -> settings.limits.serviceSilenceMilliseconds
        request.deliveredTokens == 0 -> settings.limits.firstTokenMilliseconds
        else -> settings.limits.tokenGapMilliseconds
    }
    return now - phase.progressAt >= timeout
}

/** Refuses a running command with an unknown outcome and lets it run on; cancels and refuses any other request. */
private fun RouterState.expireRunning(request: ActiveRequest, phase: Phase.Running, now: Timestamp): Step =
    if (request.command != null) {
        put(request.copy(callerLeft = true)).then {
            val error = RouterError(
                ErrorKind.OUTCOME_UNKNOWN,
                "the call was still running at its deadline",
            )
            it.with(Effect.OfCaller.Refuse(request.id, error))
        }
    } else {
        with(Effect.OfBackend.Cancel(phase.attempt))
            .then { it.releaseAttempt(phase).refuse(request, ErrorKind.DEADLINE_EXCEEDED, "the deadline passed", now) }
    }

/** Refuses [request], whose deadline has passed while no attempt was running, with the error for what it waited for. */
internal fun RouterState.expireWaiting(request: ActiveRequest, now: Timestamp): Step = when {
    request.phase is Phase.AwaitingIntent ->
        refuse(request, ErrorKind.LOG_UNAVAILABLE, "the intent could not be recorded in time", now)
    request.phase is Phase.AwaitingOutcome ->
        refuse(
            request,
            ErrorKind.OUTCOME_UNKNOWN,
            "the same call was sent before and is not known to have ended",
            now
        )
    request.mayHaveRun -> refuse(request, ErrorKind.DEADLINE_EXCEEDED, "the deadline passed between attempts", now)
    else -> refuse(request, ErrorKind.NO_CAPACITY, "no backend server became free in time", now)
}
