package org.quetzalloom.core.relay.exchange

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** Returns the transition that ends [exchange], whose deadline has passed. */
internal fun RelayState.expire(exchange: Exchange, now: Timestamp): RelayStep =
    endUnfinished(exchange, "deadline", "the deadline passed while the request ran", now) { it.giveUp(exchange, now) }

/** Returns the transition that ends all exchanges, because the process is about to end. */
internal fun RelayState.endAllForStop(now: Timestamp): RelayStep =
    unchanged().thenEach(exchanges.byId.values) { current, exchange ->
        current.endUnfinished(exchange, "stop", "the router stopped while the request ran", now) {
            it.failExchange(exchange, SHUTTING_DOWN.kind, SHUTTING_DOWN.detail, now, SHUTTING_DOWN_RETRY_MILLISECONDS)
        }
    }

/**
 * Returns the transition that cancels the attempt of [exchange] and ends it: by aborting a response that is being
 * forwarded, for [reason]; with an error with [detail] that promises nothing if the request was sent; and by [refuse],
 * as a request that has not run, only if no attempt is in flight and none before it may have run the request.
 */
private fun RelayState.endUnfinished(
    exchange: Exchange,
    reason: String,
    detail: String,
    now: Timestamp,
    refuse: (RelayState) -> RelayStep,
): RelayStep = cancelAttempt(exchange).then {
    val sent = exchange.mayHaveRun || !exchange.isWaiting
    when {
        exchange.headForwarded -> it.abortResponse(exchange, reason, ErrorKind.DEADLINE_EXCEEDED, detail, now)
        sent -> it.failExchange(exchange, ErrorKind.DEADLINE_EXCEEDED, detail, now)
        else -> refuse(it)
    }
}
