package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.admission.waitOrGiveUp
import org.quetzalloom.core.relay.handover.handoverRouterOrNull
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.server.afterFailure
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.urgency.urgencyRank
import org.quetzalloom.core.time.Timestamp

/** The maximum number of attempts of a request that end without having run it: refusals and failed connections. */
private const val MAXIMUM_NOT_RUN_ATTEMPTS = 4

/**
 * Returns the transition that handles a failed attempt: resumes the stream, retries the request, or ends the exchange.
 * Events of attempts that are no longer current change nothing.
 */
internal fun RelayState.attemptFailed(event: RelayEvent.AttemptFailed, now: Timestamp): RelayStep {
    val (exchange, attempt) = exchanges.currentOrNull(event.exchange, event.attempt) ?: return unchanged()
    val failure = event.failure
    val updated = copy(servers = servers.update(attempt.server) { it.afterFailure(failure, now) }).release(attempt)
    val withoutAttempt = exchange.copy(attempt = null, lastEventId = event.lastEventId ?: exchange.lastEventId)
    return updated.report(
        now,
        "attempt_failed",
        "request" to exchange.request.callerId,
        "attempt" to attempt.number,
        "server" to attempt.server,
        "failure" to failure,
        "after_ms" to (now - attempt.sentAt),
        "passing" to exchange.headForwarded,
        "last_event_id" to withoutAttempt.lastEventId,
        "detail" to event.detail,
    ).then {
        if (failure.mayHaveArrived) {
            it.retryOrGiveUp(withoutAttempt, attempt, now)
        } else {
            it.retryNotRun(withoutAttempt.copy(triedServers = withoutAttempt.triedServers.add(attempt.server)), now)
        }
    }
}

private fun RelayState.retryOrGiveUp(exchange: Exchange, attempt: Attempt, now: Timestamp): RelayStep {
    val possiblyRun = exchange.copy(mayHaveRun = true)
    return when {
        !mayRunOnceMore(possiblyRun, now) -> giveUp(possiblyRun, now)
        possiblyRun.headForwarded && !possiblyRun.route.resumable -> giveUp(possiblyRun, now)
        else -> placeOrWait(possiblyRun.afterRun(attempt, now), now)
    }
}

/**
 * Returns the exchange after [attempt], which may have run. It may wait for a backend server once more, for a share of
 * the time left.
 */
private fun Exchange.afterRun(attempt: Attempt, now: Timestamp): Exchange = copy(
    runs = runs + 1,
    triedServers = triedServers.add(attempt.server),
    waitUntil = maxOf(waitUntil, now + (deadlineAt - now) / QUEUE_TIME_DIVISOR),
)

/**
 * Returns the transition that cancels [attempt], which may have run the request, and retries [exchange] at another
 * backend server, or ends it if it may not run again. [reason] is logged in either case.
 */
internal fun RelayState.retryElsewhere(
    exchange: Exchange,
    attempt: Attempt,
    reason: String,
    now: Timestamp,
): RelayStep = unchanged().then {
    it.report(
        now,
        "attempt_repeated",
        "request" to exchange.request.callerId,
        "attempt" to attempt.number,
        "server" to attempt.server,
        "reason" to reason,
    )
}.then { it.cancelAttempt(exchange) }
    .then { it.retryOrGiveUp(exchange.copy(attempt = null), attempt, now) }

/** Returns the transition that handles a response that guarantees that the request has not run. */
internal fun RelayState.handleNotRun(
    exchange: Exchange,
    attempt: Attempt,
    head: ResponseHead,
    now: Timestamp,
): RelayStep = cancelAttempt(exchange).then {
    it.report(
        now,
        "attempt_refused",
        "request" to exchange.request.callerId,
        "attempt" to attempt.number,
        "server" to attempt.server,
        "status" to head.status,
        "misdirected" to head.misdirected,
    )
}.then { it.retryNotRun(exchange.copy(attempt = null, triedServers = exchange.triedServers.add(attempt.server)), now) }

/**
 * Places [exchange], whose last attempt has not run it, at another backend server, or ends it if too many attempts have
 * not run it or the retry budget of its service is used up.
 */
private fun RelayState.retryNotRun(exchange: Exchange, now: Timestamp): RelayStep {
    val notRunAttempts = exchange.attempts - exchange.runs
    val allowed = notRunAttempts < MAXIMUM_NOT_RUN_ATTEMPTS && hasRetryBudget(exchange, now)
    val mayGoOn = allowed || handoverRouterOrNull(exchange) != null
    return if (mayGoOn) placeOrWait(exchange, now) else giveUp(exchange, now)
}

/**
 * Returns whether the retry budget of the service of [exchange] allows one more retry and leaves [reservedShare] of it,
 * from 0 to 1, to others.
 */
internal fun RelayState.hasRetryBudget(exchange: Exchange, now: Timestamp, reservedShare: Double = 0.0): Boolean =
    exchanges.budgets[exchange.service]?.mayRetry(settings, members.routerCount, now, reservedShare) ?: false

/**
 * Returns the transition that ends the exchanges whose deadline has passed, and places the waiting ones again, in the
 * order of their urgency and deadline.
 */
internal fun RelayState.expireAndPlace(now: Timestamp): RelayStep {
    val (due, inTime) = exchanges.byId.values.partition { now >= it.deadlineAt }
    val waiting = inTime.filter { it.isWaiting }
        .sortedWith(compareBy({ urgencyRank(it, now) }, { it.deadlineAt }))
    return unchanged().thenEach(due) { current, exchange -> current.expire(exchange, now) }
        .thenEach(waiting) { current, exchange -> current.placeWaiting(exchange, now) }
}

/**
 * Places [exchange], which waits for a backend server. For a retry, checks the retry budget again, as other requests
 * may have used it up in the meantime.
 */
private fun RelayState.placeWaiting(exchange: Exchange, now: Timestamp): RelayStep =
    if (exchange.attempts == 0 || hasRetryBudget(exchange, now)) {
        placeOrWait(exchange, now)
    } else {
        waitOrGiveUp(exchange, now)
    }
