package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.model.ModelOutlook
import org.quetzalloom.core.relay.model.ModelPair
import org.quetzalloom.core.relay.model.ModelResponse
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.time.Timestamp

/** The share of the retry budget that second responses leave to requests that have no response yet. */
internal const val SECOND_RESPONSE_RESERVED_SHARE = 0.05

/**
 * Returns the transition that forwards the response with [head], a signed success, or drops it and asks another model.
 */
internal fun RelayState.handleSuccess(
    exchange: Exchange,
    attempt: Attempt,
    head: ResponseHead,
    now: Timestamp,
): RelayStep {
    val learned = learnConfidence(exchange, head)
    val escalation = learned.escalationOrNull(exchange, head, now)
    val withDecision = exchange.copy(escalation = escalation)
    return if (escalation?.nextModelIndex == null) {
        learned.forwardResponse(withDecision, attempt)
    } else {
        learned.escalate(withDecision, escalation.nextModelIndex, now)
    }
}

/** Returns the state that has compared the confidence of [head] with that of the response dropped before it. */
private fun RelayState.learnConfidence(exchange: Exchange, head: ResponseHead): RelayState {
    val dropped = exchange.escalation
    val confidence = head.confidence
    if (dropped == null || confidence == null || dropped.modelIndex == exchange.modelIndex) return this
    val models = exchange.route.models
    val steps = ModelPair(models[dropped.modelIndex], models[exchange.modelIndex])
    return copy(confidenceGains = confidenceGains.record(steps, before = dropped.confidence, after = confidence))
}

private fun RelayState.escalate(exchange: Exchange, modelIndex: Int, now: Timestamp): RelayStep {
    val next = exchange.copy(modelIndex = modelIndex, mayHaveRun = true, runs = exchange.runs + 1)
    return copy(exchanges = exchanges.with(next)).cancelAttempt(next)
        .then {
            it.report(
                now,
                "answer_dropped",
                "request" to exchange.request.callerId,
                "confidence" to exchange.escalation?.confidence,
                "largest_after_ms" to exchange.escalation?.largestModelStartMilliseconds,
                "model" to exchange.modelName,
                "next_model" to next.modelName,
            )
        }
        .then { it.placeOrWait(next.copy(attempt = null), now) }
}

/**
 * Decides whether the response with [head] is kept or a larger model is asked. Returns `null` if there is nothing to
 * decide: the caller named the model, or the response reports no confidence.
 */
private fun RelayState.escalationOrNull(exchange: Exchange, head: ResponseHead, now: Timestamp): EscalationDecision? {
    val confidence = head.confidence?.takeIf { exchange.request.routerChoosesModel } ?: return null
    val route = exchange.route
    val latencies = if (mayGiveSecondResponse(exchange, now)) latencyEstimateOrNull(exchange, now) else null
    val response = ModelResponse(exchange.modelIndex, confidence)
    val next = latencies?.let {
        policies.modelChoice.nextOrNull(route, exchange.request, response, ModelOutlook(it, confidenceGains))
    }
    return EscalationDecision(
        modelIndex = exchange.modelIndex,
        confidence = confidence,
        largestModelStartMilliseconds = latencies?.startMilliseconds(route.models.lastIndex),
        nextModelIndex = next,
    )
}

/** Returns whether the response to [exchange] may be dropped for one of another model. */
private fun RelayState.mayGiveSecondResponse(exchange: Exchange, now: Timestamp): Boolean =
    mayRunOnceMore(exchange, now) && hasRetryBudget(exchange, now, SECOND_RESPONSE_RESERVED_SHARE)
