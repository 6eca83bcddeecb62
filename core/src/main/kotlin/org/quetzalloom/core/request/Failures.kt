package org.quetzalloom.core.request

import org.quetzalloom.core.backend.AttemptFailure
import org.quetzalloom.core.backend.afterFailure
import org.quetzalloom.core.backend.afterRefusal
import org.quetzalloom.core.backend.withHealth
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.ledger.CommandResult
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.enqueue
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/** Cancels an attempt that makes no progress or sent an unusable answer, and handles it as failed. */
internal fun RouterState.cancelAndFail(request: ActiveRequest, phase: Phase.Running, now: Timestamp): Step =
    with(Effect.OfBackend.Cancel(phase.attempt))
        .then { it.onFailed(Event.OfBackend.Failed(phase.attempt, AttemptFailure.NO_PROGRESS), now) }
        .then { it.report(now, "attempt_cancelled", "request" to request.id, "attempt" to phase.attempt) }

/** Records the failure of an attempt and decides whether its request is retried or refused. */
internal fun RouterState.onFailed(event: Event.OfBackend.Failed, now: Timestamp): Step =
    ifRunning(event.attempt) { request, phase -> failAttempt(request, phase, event.failure, now) }

private fun RouterState.failAttempt(
    request: ActiveRequest,
    phase: Phase.Running,
    failure: AttemptFailure,
    now: Timestamp,
): Step {
    val failed = request.copy(
        failedServers = request.failedServers.add(phase.server),
        mayHaveRun = request.mayHaveRun || failure.mayHaveRun,
    )
    return releaseAttempt(phase).recordServerFailure(phase.server, failure, now)
        .report(
            now,
            "attempt_failed",
            "request" to request.id,
            "attempt" to phase.attempt,
            "server" to phase.server,
            "failure" to failure.name.lowercase(),
        )
        .then { it.onAttemptFailed(failed, phase.server, failure, now) }
}

private fun RouterState.recordServerFailure(
    server: BackendServerId,
    failure: AttemptFailure,
    now: Timestamp,
): RouterState =
    withHealth(server) { if (failure == AttemptFailure.REFUSED) it.afterRefusal(now) else it.afterFailure(now) }

/**
 * Decides how [request] goes on after its attempt failed.
 *
 * If the caller has left, [request] is discarded unless it is a command. A command that may have run is refused with an
 * unknown outcome. A request whose attempt certainly did not run is queued again without using the retry budget. After
 * a broken connection the backend server is checked for a crash first. All other failures are retried.
 */
private fun RouterState.onAttemptFailed(
    request: ActiveRequest,
    server: BackendServerId,
    failure: AttemptFailure,
    now: Timestamp,
): Step = when {
    request.callerLeft && request.command == null -> discard(request)
    request.command != null && failure.mayHaveRun -> recordUnknownOutcome(request, now)
    request.command != null || !failure.mayHaveRun -> put(request.copy(phase = Phase.Queued))
    failure == AttemptFailure.BROKEN -> checkForCrash(request, server, now)
    else -> retry(request, now)
}

/** Records in the log that the command was sent and may have run, and refuses [request]. */
private fun RouterState.recordUnknownOutcome(request: ActiveRequest, now: Timestamp): Step {
    val command = requireNotNull(request.command) { "request ${request.id} is not a command" }
    return enqueue(LogRecord.Outcome(command, request.id, CommandResult.Unknown))
        .refuse(request, ErrorKind.OUTCOME_UNKNOWN, "the call was sent and its outcome is not known", now)
}
