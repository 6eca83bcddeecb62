package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.server.afterPromptRead
import org.quetzalloom.core.relay.server.afterResponseHead
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the transition that handles the head of a response: forwards the response to the caller, drops it and tries
 * another backend server or a larger model, or ends the exchange with an error. Events of attempts that are no longer
 * current change nothing.
 */
internal fun RelayState.responseStarted(event: RelayEvent.ResponseStarted, now: Timestamp): RelayStep {
    val (previous, sent) = exchanges.currentOrNull(event.exchange, event.attempt) ?: return unchanged()
    val attempt = sent.copy(
        pendingWork = 0,
        startedAt = now,
        loadAtStart = event.head.load?.let { it.running + it.waiting } ?: 0,
        succeeds = event.head.isSuccess,
    )
    val exchange = previous.copy(attempt = attempt)
    val updated = copy(
        exchanges = exchanges.with(exchange),
        servers = servers
            .update(attempt.server) { it.afterResponseHead(event.head, now).afterPromptRead(sent.pendingWork) }
            .let { if (event.head.isSuccess) it.recordResponseStart(sent, previous.service, now) else it },
    )
    return when {
        event.head.notRun -> updated.handleNotRun(exchange, attempt, event.head, now)
        exchange.headForwarded -> updated.resumeStream(exchange, attempt, event.head, now)
        event.head.isServerFailure || event.head.claimsNotRun ->
            updated.handleServerError(exchange, attempt, event.head, now)
        event.head.isSuccess && !event.head.signed -> updated.retryElsewhere(exchange, attempt, "unsigned", now)
        event.head.isSuccess -> updated.handleSuccess(exchange, attempt, event.head, now)
        else -> updated.forwardResponse(exchange, attempt)
    }
}

/** Returns the transition that notes that the time between the events of a response has been measured. */
internal fun RelayState.responseProgressed(event: RelayEvent.ResponseProgressed): RelayStep {
    val (exchange, attempt) = exchanges.currentOrNull(event.exchange, event.attempt) ?: return unchanged()
    return copy(exchanges = exchanges.with(exchange.copy(attempt = attempt.copy(eventsTimed = true)))).unchanged()
}

/** Returns the transition that ends an exchange whose response has been forwarded completely. */
internal fun RelayState.responseFinished(event: RelayEvent.ResponseFinished, now: Timestamp): RelayStep {
    val (exchange, attempt) = exchanges.currentOrNull(event.exchange, event.attempt) ?: return unchanged()
    return release(attempt).copy(exchanges = exchanges.without(exchange.id))
        .reportEnd(exchange, "answered", now)
}

internal fun RelayState.forwardResponse(exchange: Exchange, attempt: Attempt): RelayStep =
    copy(exchanges = exchanges.with(exchange.copy(headForwarded = true, mayHaveRun = true)))
        .with(RelayEffect.ForwardResponse(exchange.id, attempt.number))

/**
 * Resumes a broken stream with the response of another backend server, or tries one more if that is not a signed
 * success. If the stream broke before its first event, the caller gets the head of this response.
 */
private fun RelayState.resumeStream(
    exchange: Exchange,
    attempt: Attempt,
    head: ResponseHead,
    now: Timestamp,
): RelayStep =
    if (head.isSuccess && head.signed) {
        forwardResponse(exchange, attempt)
    } else {
        retryElsewhere(exchange, attempt, "resumption_failed", now)
    }

/**
 * Returns whether [exchange], which may have run, may run once more: its route, its number of attempts and the retry
 * budget of its service allow it.
 */
internal fun RelayState.mayRunOnceMore(exchange: Exchange, now: Timestamp): Boolean =
    exchange.route.mayRunAgain && exchange.runs + 1 < exchange.route.maximumAttempts && hasRetryBudget(exchange, now)

private fun RelayState.handleServerError(
    exchange: Exchange,
    attempt: Attempt,
    head: ResponseHead,
    now: Timestamp,
): RelayStep = when {
    mayRunOnceMore(exchange, now) -> retryElsewhere(exchange, attempt, "status_${head.status}", now)
    head.claimsNotRun -> failAsPossiblyRun(exchange, head, now)
    else -> forwardResponse(exchange, attempt)
}
