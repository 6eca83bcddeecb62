package org.quetzalloom.core.request

import org.quetzalloom.core.backend.withHealth
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.AttemptId
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/** Runs [step] if [attempt] is still running; events of attempts that were cancelled or have ended change nothing. */
internal fun RouterState.ifRunning(attempt: AttemptId, step: (ActiveRequest, Phase.Running) -> Step): Step {
    val request = requests.byAttemptOrNull(attempt)
    val phase = request?.phase as? Phase.Running
    return if (request == null || phase == null) unchanged() else step(request, phase)
}

/** Records that the backend server has begun to answer; this counts as progress. */
internal fun RouterState.onAccepted(event: Event.OfBackend.Accepted, now: Timestamp): Step =
    ifRunning(event.attempt) { request, phase ->
        if (phase.accepted) {
            unchanged()
        } else {
            withHealth(phase.server) { it.copy(unaccepted = it.unaccepted - 1) }
                .put(request.copy(phase = phase.copy(accepted = true, progressAt = now)))
        }
    }

/**
 * Forwards tokens to the caller if they follow those already delivered.
 *
 * Tokens that were all delivered before are dropped. Any other position, a gap or a partial overlap, makes the answer
 * unusable: the attempt is cancelled and counts as failed.
 */
internal fun RouterState.onChunkReceived(event: Event.OfBackend.ChunkReceived, now: Timestamp): Step =
    ifRunning(event.attempt) { request, phase ->
        when {
            event.position + event.tokens <= request.deliveredTokens -> unchanged()
            event.position != request.deliveredTokens -> cancelAndFail(request, phase, now)
            else -> deliver(request, phase, event, now)
        }
    }

/** Sends the tokens to the caller, and clears a suspected request that has run far enough past its crash. */
private fun RouterState.deliver(
    request: ActiveRequest,
    phase: Phase.Running,
    event: Event.OfBackend.ChunkReceived,
    now: Timestamp,
): Step {
    val next = request.copy(
        phase = phase.copy(progressAt = now),
        answerStarted = true,
        deliveredTokens = request.deliveredTokens + event.tokens,
        answer = if (keepsAnswerText(request)) request.answer.add(event.text) else request.answer,
    )
    return beginAnswerOnce(request).then { it.put(next) }
        .then { it.sendToCaller(request, Effect.OfCaller.Chunk(request.id, request.deliveredTokens, event.text)) }
        .then {
            if (next.deliveredTokens - next.tokensAtSuspicion < CLEARING_TOKENS) {
                it.unchanged()
            } else {
                it.clearSuspicion(next, now)
            }
        }
}

/** Returns whether the text of the answer is needed after it was sent: for the recorded outcome, or for a rating. */
private fun RouterState.keepsAnswerText(request: ActiveRequest): Boolean = request.command != null || isSampled(request)

/** Returns whether [request] is a completion whose answer is submitted for rating; a hash of the request id decides. */
internal fun RouterState.isSampled(request: ActiveRequest): Boolean =
    request.call.target is Target.Completion &&
        bucketOf("sample:${request.id}", SAMPLE_BUCKETS) < settings.limits.sampleShare * SAMPLE_BUCKETS

private const val SAMPLE_BUCKETS = 10_000

/** Completes a request if the caller was sent every token; otherwise the attempt is cancelled and counts as failed. */
internal fun RouterState.onFinished(event: Event.OfBackend.Finished, now: Timestamp): Step =
    ifRunning(event.attempt) { request, phase ->
        if (event.tokens == request.deliveredTokens) {
            completeAttempt(request, phase, event, now)
        } else {
            cancelAndFail(request, phase, now)
        }
    }

/** Releases the attempt, resets the failures of its backend server, and bills the request. */
private fun RouterState.completeAttempt(
    request: ActiveRequest,
    phase: Phase.Running,
    event: Event.OfBackend.Finished,
    now: Timestamp,
): Step {
    return beginAnswerOnce(request).then { it.releaseAttempt(phase).unchanged() }
        .then { it.withHealth(phase.server) { health -> health.copy(consecutiveFailures = 0) }.unchanged() }
        .then { it.onAnswerComplete(request.copy(answerStarted = true), event, now) }
}

/** Returns the state without the attempt of [phase], which no longer counts against its backend server. */
internal fun RouterState.releaseAttempt(phase: Phase.Running): RouterState {
    val unaccepted = if (phase.accepted) 0 else 1
    val freed = withHealth(phase.server) {
        it.copy(running = it.running - 1, unaccepted = it.unaccepted - unaccepted)
    }
    return freed.copy(requests = freed.requests.copy(attempts = freed.requests.attempts.remove(phase.attempt)))
}
