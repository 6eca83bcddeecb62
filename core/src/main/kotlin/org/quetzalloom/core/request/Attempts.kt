package org.quetzalloom.core.request

import org.quetzalloom.core.backend.AttemptFailure
import org.quetzalloom.core.backend.askLoad
import org.quetzalloom.core.backend.failed
import org.quetzalloom.core.backend.refusedWork
import org.quetzalloom.core.backend.withHealth
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.ledger.CommandResult
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.quarantine.suspected
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.router.enqueue
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.tellAll
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.session.SessionToken
import org.quetzalloom.core.time.Timestamp

/** Notes that a backend server has begun to answer. */
internal fun RouterState.accept(event: Event.OfBackend.Accepted, now: Timestamp): Step {
    val request = requests.byAttemptOrNull(event.attempt) ?: return unchanged()
    val phase = request.phase as? Phase.Running ?: return unchanged()
    if (phase.accepted) return unchanged()
    return withHealth(phase.server) { it.copy(unconfirmed = it.unconfirmed - 1) }
        .put(request.copy(phase = phase.copy(accepted = true, progressAt = now)))
}

/** Passes tokens on to the caller if they are the next ones; what came before is dropped. */
internal fun RouterState.progress(event: Event.OfBackend.Progressed, now: Timestamp): Step {
    val request = requests.byAttemptOrNull(event.attempt) ?: return unchanged()
    val phase = request.phase as? Phase.Running ?: return unchanged()
    val end = event.position + event.tokens
    return when {
        end <= request.delivered -> unchanged()
        event.position != request.delivered -> cancelAndFail(request, phase, now)
        else -> deliver(request, phase, event, now)
    }
}

private fun RouterState.deliver(
    request: ActiveRequest,
    phase: Phase.Running,
    event: Event.OfBackend.Progressed,
    now: Timestamp,
): Step {
    val next = request.copy(
        phase = phase.copy(progressAt = now),
        begun = true,
        delivered = request.delivered + event.tokens,
        answer = if (keepsAnswer(request)) request.answer.add(event.text) else request.answer,
    )
    val begin = if (request.begun) unchanged() else with(begin(request))
    return begin.then { it.put(next) }
        .then { it.with(Effect.OfCaller.Piece(request.id, request.delivered, event.text)) }
}

private fun RouterState.begin(request: ActiveRequest): Effect.OfCaller.Begin {
    val token = request.call.session?.takeIf { request.pinned }
        ?.let { SessionToken(request.call.workspace, it, request.version).format(settings.sessionSecret) }
    return Effect.OfCaller.Begin(request.id, request.version, token)
}

/** Returns whether the text of the answer is needed after it was sent: for its outcome, or for a rating. */
private fun RouterState.keepsAnswer(request: ActiveRequest): Boolean = request.command != null || isSampled(request)

internal fun RouterState.isSampled(request: ActiveRequest): Boolean =
    request.call.target is Target.Completion &&
        bucketOf("sample:${request.id}", SAMPLE_BUCKETS) < settings.limits.sampleShare * SAMPLE_BUCKETS

private const val SAMPLE_BUCKETS = 10_000

/** Ends a request whose answer is whole; one that lacks tokens goes on elsewhere. */
internal fun RouterState.finish(event: Event.OfBackend.Finished, now: Timestamp): Step {
    val request = requests.byAttemptOrNull(event.attempt) ?: return unchanged()
    val phase = request.phase as? Phase.Running ?: return unchanged()
    if (event.tokens != request.delivered) return cancelAndFail(request, phase, now)
    val begin = if (request.begun) unchanged() else with(begin(request))
    return begin.then { it.release(phase).unchanged() }
        .then { it.withHealth(phase.server) { health -> health.copy(failures = 0) }.unchanged() }
        .then { it.settle(request.copy(begun = true), event, now) }
}

/** Closes the connection of a request that makes no progress or no sense, and tries elsewhere. */
internal fun RouterState.cancelAndFail(request: ActiveRequest, phase: Phase.Running, now: Timestamp): Step =
    with(Effect.OfBackend.Cancel(phase.attempt))
        .then { it.fail(Event.OfBackend.Failed(phase.attempt, AttemptFailure.NO_PROGRESS), now) }
        .then { it.report(now, "attempt_cancelled", "request" to request.id, "attempt" to phase.attempt) }

/** Decides what becomes of a request whose attempt failed. */
internal fun RouterState.fail(event: Event.OfBackend.Failed, now: Timestamp): Step {
    val request = requests.byAttemptOrNull(event.attempt) ?: return unchanged()
    val phase = request.phase as? Phase.Running ?: return unchanged()
    val failed = request.copy(
        tried = request.tried.add(phase.server),
        mayHaveRun = request.mayHaveRun || event.failure.mayHaveRun,
    )
    return release(phase).notedFailure(phase.server, event.failure, now)
        .report(
            now,
            "attempt_failed",
            "request" to request.id,
            "attempt" to phase.attempt,
            "server" to phase.server,
            "failure" to event.failure.name.lowercase(),
        )
        .then { it.afterFailure(failed, phase.server, event.failure, now) }
}

private fun RouterState.notedFailure(server: BackendServerId, failure: AttemptFailure, now: Timestamp): RouterState =
    withHealth(server) { if (failure == AttemptFailure.REFUSED) it.refusedWork(now) else it.failed(now) }

private fun RouterState.afterFailure(
    request: ActiveRequest,
    server: BackendServerId,
    failure: AttemptFailure,
    now: Timestamp,
): Step = when {
    request.callerLeft && request.command == null -> drop(request)
    request.command != null && failure.mayHaveRun -> commandLost(request, now)
    request.command != null || !failure.mayHaveRun -> put(request.copy(phase = Phase.Queued))
    failure == AttemptFailure.BROKEN -> askVerdict(request, server, now)
    else -> retry(request, now)
}

/** Records that a call that may not be repeated was sent and that nobody knows whether it ran. */
private fun RouterState.commandLost(request: ActiveRequest, now: Timestamp): Step {
    val command = requireNotNull(request.command) { "request ${request.id} is not a command" }
    return enqueue(LogRecord.Outcome(command, request.id, CommandResult.Unknown))
        .refuse(request, ErrorKind.OUTCOME_UNKNOWN, "the call was sent and its outcome is not known", now)
}

/** Asks whether the backend server went down, before the request is run anywhere else. */
private fun RouterState.askVerdict(request: ActiveRequest, id: BackendServerId, now: Timestamp): Step {
    val asked = put(request.copy(phase = Phase.AwaitingVerdict(id, now)))
    val server = configuration.view.current?.backendServers?.get(id) ?: return asked
    return asked.then { it.askLoad(server, now) }
}

/** Decides, once [server] was reached again or not, whether the requests that broke off there brought it down. */
internal fun RouterState.verdict(server: BackendServerId, down: Boolean, now: Timestamp): Step {
    val affected = requests.waiting.sorted().mapNotNull { requests.active[it] }
        .filter { (it.phase as? Phase.AwaitingVerdict)?.server == server }
    return affected.fold(unchanged()) { reached, request ->
        reached.then { if (down) it.crashed(request, server, now) else it.retry(request, now) }
    }
}

/** Holds it against [request] that [server] went down while it ran there. */
internal fun RouterState.crashed(request: ActiveRequest, server: BackendServerId, now: Timestamp): Step {
    val next = suspected(request.fingerprint, server, trialBy = settings.vm, now = now)
    val condemned = next.quarantine.suspicions[request.fingerprint]?.condemned == true
    val told = next.tellAll(
        next.livePeers(now),
        PeerMessage.Suspect(request.fingerprint, server, trial = !condemned),
    )
    return told.then {
        if (condemned) {
            it.refuse(request, ErrorKind.QUARANTINED, "the request took down two backend servers", now)
        } else {
            it.retry(request, now, Phase.AwaitingNotes(now))
        }
    }
}

private fun RouterState.retry(request: ActiveRequest, now: Timestamp, phase: Phase = Phase.Queued): Step = when {
    request.tries >= settings.limits.triesPerRequest ->
        refuse(request, ErrorKind.BACKEND_FAILED, "${request.tries} attempts failed", now)
    requests.retryBudget < 1 ->
        refuse(request, ErrorKind.BACKEND_FAILED, "an attempt failed and too many retries are under way", now)
    else -> copy(requests = requests.withBudget(-1.0)).put(request.copy(phase = phase))
}

/** Returns the state in which the attempt of [phase] no longer counts. */
internal fun RouterState.release(phase: Phase.Running): RouterState {
    val unconfirmed = if (phase.accepted) 0 else 1
    val freed = withHealth(phase.server) {
        it.copy(running = it.running - 1, unconfirmed = it.unconfirmed - unconfirmed)
    }
    return freed.copy(requests = freed.requests.copy(attempts = freed.requests.attempts.remove(phase.attempt)))
}
