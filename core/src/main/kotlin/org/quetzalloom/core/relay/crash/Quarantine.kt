package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.exchange.abortResponse
import org.quetzalloom.core.relay.exchange.failExchange
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.router.rendezvousOrNull
import org.quetzalloom.core.time.Timestamp

/** How long it is the turn of one router to try a request; longer than most requests take to crash a server. */
private const val TRIAL_TURN_MILLISECONDS = 5_000L

/** The minimum retry-after time of a quarantined request. */
private const val MINIMUM_RETRY_MILLISECONDS = 1_000L

private const val DETAIL = "backend servers crashed under requests with the same content"

/** Returns the quarantined keys of the request of [exchange]. */
internal fun RelayState.quarantinedKeys(exchange: Exchange): List<ContentKey> =
    if (crashes.quarantined.isEmpty()) {
        emptyList()
    } else {
        exchange.request.contentKeys.filter { it in crashes.quarantined }
    }

/** Returns when a request with [key] may be tried again; `null` if no server was lost under one. */
internal fun RelayState.trialDueAtOrNull(key: ContentKey): Timestamp? {
    val evidence = crashes.evidence[key]
    val latest = listOfNotNull(evidence?.lastLossAt, evidence?.trialAt).maxOrNull() ?: return null
    return latest + policies.quarantine.trialDelay(evidence?.losses?.size ?: 0)
}

/**
 * Returns whether this router may send a request with [key] at [now] as a trial: it is due, and the turn of this
 * router. The turn goes from router to router, as such requests may not reach all of them.
 */
internal fun RelayState.mayTry(key: ContentKey, now: Timestamp): Boolean {
    val dueAt = trialDueAtOrNull(key) ?: return true
    val turn = (now - dueAt) / TRIAL_TURN_MILLISECONDS
    return now >= dueAt && rendezvousOrNull(members.sortedMembers, "$key/$turn") == settings.vm
}

/** Returns the transition that notes that [exchange], with the quarantined [keys], has been sent as a trial. */
internal fun RelayState.noteTrial(exchange: Exchange, keys: List<ContentKey>, now: Timestamp): RelayStep {
    val next = keys.fold(crashes) { current, key -> current.update(key, position = 0) { it.withTrial(now) } }
    return copy(crashes = next).report(
        now,
        "content_trial",
        "request" to exchange.request.callerId,
        "content" to keys.joinToString(","),
        "losses" to keys.maxOf { crashes.evidence[it]?.losses?.size ?: 0 },
    )
}

/** Returns the transition that ends [exchange], which has no attempt in flight, as its [keys] are quarantined. */
internal fun RelayState.refuseQuarantined(exchange: Exchange, keys: List<ContentKey>, now: Timestamp): RelayStep {
    val dueAt = keys.mapNotNull { trialDueAtOrNull(it) }.maxOrNull() ?: now
    val retryAfter = (dueAt - now).coerceAtLeast(MINIMUM_RETRY_MILLISECONDS)
    return report(
        now,
        "request_quarantined",
        "request" to exchange.request.callerId,
        "content" to keys.joinToString(","),
        "losses" to keys.maxOf { crashes.evidence[it]?.losses?.size ?: 0 },
        "retry_after_ms" to retryAfter,
    ).then {
        when {
            exchange.headForwarded ->
                it.abortResponse(exchange, "quarantined", ErrorKind.BACKEND_FAILED, DETAIL, now)
            exchange.mayHaveRun -> it.failExchange(exchange, ErrorKind.BACKEND_FAILED, DETAIL, now)
            else -> it.failExchange(exchange, ErrorKind.CONTENT_QUARANTINED, DETAIL, now, retryAfter)
        }
    }
}
