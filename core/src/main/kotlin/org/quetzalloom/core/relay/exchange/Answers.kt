package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.model.ModelAnswer
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.server.takeAnswer
import org.quetzalloom.core.relay.server.takeRead
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/** Returns the transition that takes the head of an answer: passes it on, or drops it and asks elsewhere. */
internal fun RelayState.answerStarted(event: RelayEvent.AnswerStarted, now: Timestamp): RelayStep {
    val (asked, pending) = exchanges.currentOrNull(event.exchange, event.attempt) ?: return unchanged()
    val attempt = pending.copy(work = 0)
    val exchange = asked.copy(attempt = attempt)
    val heard = copy(
        exchanges = exchanges.with(exchange),
        servers = servers.update(attempt.server) { it.takeAnswer(event.head, now).takeRead(pending.work) }
            .let { if (event.head.isSuccess) it.countPace(pending, asked.service, now) else it },
    )
    return when {
        event.head.notRun -> heard.refusedByServer(exchange, attempt, event.head, now)
        exchange.passing -> heard.goOn(exchange, attempt, event.head, now)
        event.head.isServerFailure -> heard.failedByServer(exchange, attempt, event.head, now)
        event.head.isSuccess && !event.head.signed -> heard.tryElsewhere(exchange, attempt, "unsigned", now)
        event.head.isSuccess -> heard.succeeded(exchange, attempt, event.head, now)
        else -> heard.passOn(exchange, attempt)
    }
}

/** Returns the transition that ends an exchange whose answer has been passed on whole. */
internal fun RelayState.answerFinished(event: RelayEvent.AnswerFinished, now: Timestamp): RelayStep {
    val (exchange, attempt) = exchanges.currentOrNull(event.exchange, event.attempt) ?: return unchanged()
    return release(attempt).copy(exchanges = exchanges.without(exchange.id))
        .reportEnd(exchange, "answered", now)
}

private fun RelayState.passOn(exchange: Exchange, attempt: Attempt): RelayStep =
    copy(exchanges = exchanges.with(exchange.copy(passing = true, mayHaveRun = true)))
        .with(RelayEffect.PassOn(exchange.id, attempt.number))

/** A stream that was broken goes on with the answer of another backend server, if that is a success too. */
private fun RelayState.goOn(exchange: Exchange, attempt: Attempt, head: AnswerHead, now: Timestamp): RelayStep =
    if (head.isSuccess) passOn(exchange, attempt) else tryElsewhere(exchange, attempt, "resumption_failed", now)

private fun RelayState.succeeded(exchange: Exchange, attempt: Attempt, head: AnswerHead, now: Timestamp): RelayStep {
    val verdict = verdictOrNull(exchange, head, now)
    val judged = exchange.copy(verdict = verdict)
    return if (verdict?.next == null) passOn(judged, attempt) else askAgain(judged, verdict.next, now)
}

private fun RelayState.askAgain(exchange: Exchange, model: Int, now: Timestamp): RelayStep {
    val next = exchange.copy(model = model, mayHaveRun = true, runs = exchange.runs + 1)
    return copy(exchanges = exchanges.with(next)).abandon(next)
        .then {
            it.report(
                now,
                "answer_dropped",
                "request" to exchange.request.callerId,
                "confidence" to exchange.verdict?.confidence,
                "largest_after_ms" to exchange.verdict?.largestAfterMilliseconds,
                "model" to exchange.modelName,
                "next_model" to next.modelName,
            )
        }
        .then { it.place(next.copy(attempt = null), now) }
}

/** Returns what is to become of the answer of a model that the router has chosen, or `null` for any other answer. */
private fun RelayState.verdictOrNull(exchange: Exchange, head: AnswerHead, now: Timestamp): AnswerVerdict? {
    val confidence = head.confidence?.takeIf { exchange.request.wantsModel } ?: return null
    val outlook = if (mayRunOnceMore(exchange, now)) outlookOrNull(exchange, now) else null
    val answer = ModelAnswer(exchange.model, confidence)
    val next = outlook?.let { policies.modelChoice.nextOrNull(exchange.route, exchange.request, answer, it) }
    return AnswerVerdict(confidence, outlook?.startOf(exchange.route.models.lastIndex), next)
}

/** Returns whether [exchange], which may have run, may be sent to one more backend server. */
internal fun RelayState.mayRunOnceMore(exchange: Exchange, now: Timestamp): Boolean =
    exchange.route.mayRunAgain && exchange.runs + 1 < exchange.route.maximumAttempts && budgetLeft(exchange, now)

private fun RelayState.failedByServer(
    exchange: Exchange,
    attempt: Attempt,
    head: AnswerHead,
    now: Timestamp,
): RelayStep =
    if (mayRunOnceMore(exchange, now)) {
        tryElsewhere(exchange, attempt, "status_${head.status}", now)
    } else {
        passOn(exchange, attempt)
    }
