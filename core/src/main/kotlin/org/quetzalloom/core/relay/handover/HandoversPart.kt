package org.quetzalloom.core.relay.handover

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.exchange.giveUp
import org.quetzalloom.core.relay.exchange.mayRunOnceMore
import org.quetzalloom.core.relay.exchange.placeOrWait
import org.quetzalloom.core.relay.exchange.reportEnd
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Handles the responses to requests that were handed over to other routers: forwards them, or sends the request to
 * another router if it may run once more.
 */
internal object HandoversPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.ResponseStarted ->
            state.forHandover(event.exchange, event.attempt) { state.responseStarted(it, event.head, now) }
        is RelayEvent.ResponseFinished -> state.forHandover(event.exchange, event.attempt) {
            state.copy(exchanges = state.exchanges.without(it.id)).reportEnd(it, "answered", now)
        }
        is RelayEvent.AttemptFailed -> state.forHandover(event.exchange, event.attempt) {
            val exchange = it.copy(lastEventId = event.lastEventId ?: it.lastEventId)
            state.failed(exchange, event.failure.name, mayHaveRun = event.failure.mayHaveArrived, now)
        }
        is RelayEvent.AttemptStalled -> state.forHandover(event.exchange, event.attempt) {
            state.stalled(it.copy(lastEventId = event.lastEventId ?: it.lastEventId), now)
        }
        else -> state.unchanged()
    }

    private fun RelayState.forHandover(id: ExchangeId, number: Int, then: (Exchange) -> RelayStep): RelayStep =
        exchanges.byId[id]?.takeIf { it.handover?.number == number }?.let(then) ?: unchanged()

    private fun RelayState.responseStarted(exchange: Exchange, head: ResponseHead, now: Timestamp): RelayStep {
        val usable = head.signed && (head.isSuccess || !exchange.headForwarded)
        val failed = head.isSuccess || head.isServerFailure || exchange.headForwarded
        return when {
            usable -> forward(exchange)
            exchange.wasRefused(head) ->
                cancel(exchange).then { it.failed(exchange, "status_${head.status}", mayHaveRun = false, now) }
            failed && mayRunOnceMore(exchange, now) || head.isSuccess || exchange.headForwarded ->
                cancel(exchange).then { it.failed(exchange, "status_${head.status}", mayHaveRun = true, now) }
            else -> forward(exchange)
        }
    }

    /**
     * An unsigned error comes from the other router itself, whose refusals say truly that the request has not run. One
     * for an unknown route or key means that its configuration is another one: this router has admitted the request. It
     * cannot be told from a server's, so that a request that may not run again is not sent again after it.
     */
    private fun Exchange.wasRefused(head: ResponseHead): Boolean =
        !head.signed && (head.notRun || head.claimsNotRun || head.isNotAdmitted && route.mayRunAgain)

    private fun RelayState.forward(exchange: Exchange): RelayStep {
        val forwarded = exchange.copy(headForwarded = true, mayHaveRun = true)
        val number = exchange.handover?.number ?: exchange.attempts
        return copy(exchanges = exchanges.with(forwarded)).with(RelayEffect.ForwardResponse(exchange.id, number))
    }

    private fun RelayState.cancel(exchange: Exchange): RelayStep =
        with(RelayEffect.CancelAttempt(exchange.id, exchange.handover?.number ?: exchange.attempts))

    private fun RelayState.stalled(exchange: Exchange, now: Timestamp): RelayStep {
        val mayMove = (!exchange.headForwarded || exchange.route.resumable) && mayRunOnceMore(exchange, now) &&
            handoverRouterOrNull(exchange.withFailedRouter()) != null
        if (!mayMove) return unchanged()
        val reason = AttemptFailure.SILENT.name
        return cancel(exchange).then { it.failed(exchange, reason, mayHaveRun = true, now) }
    }

    private fun RelayState.failed(
        exchange: Exchange,
        reason: String,
        mayHaveRun: Boolean,
        now: Timestamp,
    ): RelayStep = report(
        now,
        "handover_failed",
        "request" to exchange.request.callerId,
        "attempt" to exchange.handover?.number,
        "router" to exchange.handover?.router,
        "reason" to reason,
        "after_ms" to exchange.handover?.let { now - it.sentAt },
    ).then { it.sendElsewhere(exchange, mayHaveRun, now) }

    private fun RelayState.sendElsewhere(exchange: Exchange, mayHaveRun: Boolean, now: Timestamp): RelayStep {
        val mayGoOn = !mayHaveRun ||
            mayRunOnceMore(exchange, now) && (!exchange.headForwarded || exchange.route.resumable)
        val failed = exchange.withFailedRouter()
        val next = if (mayHaveRun) failed.copy(mayHaveRun = true, runs = failed.runs + 1) else failed
        return if (mayGoOn) placeOrWait(next, now) else giveUp(next, now)
    }

    private fun Exchange.withFailedRouter(): Exchange = copy(
        handover = null,
        failedRouters = handover?.let { failedRouters.add(it.router) } ?: failedRouters,
    )
}
