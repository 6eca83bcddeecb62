package org.quetzalloom.core.request

import org.quetzalloom.core.billing.Bill
import org.quetzalloom.core.billing.isInLog
import org.quetzalloom.core.billing.isKept
import org.quetzalloom.core.billing.issue
import org.quetzalloom.core.configuration.VersionKind
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.ledger.CommandResult
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.enqueue
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.selection.RatingSubject
import org.quetzalloom.core.time.Timestamp

private const val UNITS_PER_PRICE = 1_000
private const val MAX_RECORDED_BODY_CHARACTERS = 65_536

/** Bills a request whose answer is whole, and records its outcome. */
internal fun RouterState.settle(request: ActiveRequest, event: Event.OfBackend.Finished, now: Timestamp): Step {
    val bill = billFor(request, event.tokens)
    return recordOutcome(request, event).clearSuspicion(request, now)
        .then { it.issue(bill, now).unchanged() }
        .then { it.submitSample(request) }
        .then {
            val phase = Phase.Settling(bill, event.tokens, event.status, since = now)
            it.put(request.copy(phase = phase, answer = request.answer.clear()))
        }
}

private fun RouterState.billFor(request: ActiveRequest, tokens: Int): Bill {
    val version = configuration.view.current?.versions?.get(request.version)
    val units = if (version?.kind == VersionKind.SERVICE) 1L else tokens.toLong()
    return Bill(
        identity = request.billIdentity,
        workspace = request.call.workspace,
        version = request.version,
        units = units,
        costMicros = units * (version?.costMicros ?: 0) / UNITS_PER_PRICE,
    )
}

private fun RouterState.recordOutcome(request: ActiveRequest, event: Event.OfBackend.Finished): RouterState {
    val command = request.command ?: return this
    val body = request.answer.joinToString(separator = "").take(MAX_RECORDED_BODY_CHARACTERS)
    return enqueue(LogRecord.Outcome(command, request.id, CommandResult.Answered(event.status, body)))
}

private fun RouterState.submitSample(request: ActiveRequest): Step {
    if (!isSampled(request)) return unchanged()
    val subject = RatingSubject(request.call.workspace, request.call.requestClass, request.version)
    val answer = request.answer.joinToString(separator = "")
    return with(Effect.OfPlatform.SubmitForRating(request.id, subject, answer))
}

/** Sends the end of the answer once its bill is in the log; after a while it is enough that a peer keeps it. */
internal fun RouterState.advanceSettling(request: ActiveRequest, phase: Phase.Settling, now: Timestamp): Step {
    val waited = now - phase.since
    val safe = isInLog(phase.bill) ||
        (waited >= settings.limits.billHoldMilliseconds && isKept(phase.bill)) ||
        waited >= settings.limits.billPatienceMilliseconds
    if (!safe) return unchanged()
    val end = Effect.OfCaller.End(request.id, phase.tokens, phase.bill.costMicros, phase.status)
    return copy(requests = requests.remove(request.id)).sendToCaller(request, end).then {
        it.report(
            now,
            "request_answered",
            "request" to request.id,
            "version" to request.version,
            "tokens" to phase.tokens,
            "tries" to request.attemptCount,
        )
    }
}

/** Answers a re-sent command from its recorded outcome. */
internal fun RouterState.replayOutcome(
    request: ActiveRequest,
    result: CommandResult,
    now: Timestamp,
): Step = when (result) {
    is CommandResult.Unknown ->
        refuse(request, ErrorKind.OUTCOME_UNKNOWN, "the call was sent before and its outcome is not known", now)
    is CommandResult.Answered -> copy(requests = requests.remove(request.id))
        .with(
            Effect.OfCaller.Begin(request.id, request.version, sessionToken = null),
            Effect.OfCaller.Piece(request.id, position = 0, text = result.body),
            Effect.OfCaller.End(request.id, tokens = 0, costMicros = 0, status = result.status),
        )
        .then { it.report(now, "outcome_replayed", "request" to request.id, "key" to request.command?.key) }
}

/** Answers [request] with an error. An intent that was won and not used is given back. */
internal fun RouterState.refuse(request: ActiveRequest, kind: ErrorKind, detail: String, now: Timestamp): Step {
    val answered = sendToCaller(request, Effect.OfCaller.Refuse(request.id, RouterError(kind, detail)))
    return answered.then { it.copy(requests = it.requests.remove(request.id)).releaseIntent(request).unchanged() }
        .then { it.abandonTrial(request, now) }
        .then {
            it.report(
                now,
                "request_refused",
                "request" to request.id,
                "key" to request.call.key,
                "session" to request.call.session,
                "error" to kind.code,
            )
        }
}

private fun RouterState.releaseIntent(request: ActiveRequest): RouterState {
    val command = request.command ?: return this
    return when {
        request.phase is Phase.AwaitingIntent -> copy(
            ledger = ledger.copy(abandoned = ledger.abandoned.add(request.id))
        )
        request.fencing != null && !request.mayHaveRun && request.phase !is Phase.Running ->
            enqueue(LogRecord.Release(command, request.id))
        else -> this
    }
}

/** Forgets [request], whose caller has left. */
internal fun RouterState.discard(request: ActiveRequest): Step =
    copy(requests = requests.remove(request.id)).releaseIntent(request).unchanged()
