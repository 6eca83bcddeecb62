package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Finds out what the requests have in common under which backend servers crash, together with the other routers.
 *
 * A request is suspected if its connection is lost before the first event of its response. The rest of a stream proves
 * that a server can answer the request, and so does a complete response.
 */
internal object CrashesPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.AttemptFailed -> state.attemptFailed(event, now)
        is RelayEvent.ResponseFinished -> state.responseFinished(event, now)
        is RelayEvent.BeaconReceived -> state.mergeReports(event.beacon.crashes, now)
        RelayEvent.Tick -> state.copy(crashes = state.crashes.prune(now)).unchanged()
        else -> state.unchanged()
    }

    private fun RelayState.attemptFailed(event: RelayEvent.AttemptFailed, now: Timestamp): RelayStep {
        val (exchange, attempt) = exchanges.currentOrNull(event.exchange, event.attempt) ?: return unchanged()
        val run = servers.views[attempt.server]?.let { ServerRun.of(it.listing) }
        return when {
            event.lastEventId != null -> recordAnswer(exchange.request, now)
            event.failure != AttemptFailure.CONNECTION_LOST || run == null -> unchanged()
            // The caller has a part of an earlier response, so a server has begun to answer this request before.
            exchange.lastEventId != null -> unchanged()
            else -> recordLoss(exchange, attempt, run, now)
        }
    }

    private fun RelayState.responseFinished(event: RelayEvent.ResponseFinished, now: Timestamp): RelayStep {
        val (exchange, attempt) = exchanges.currentOrNull(event.exchange, event.attempt) ?: return unchanged()
        return if (attempt.succeeds) recordAnswer(exchange.request, now) else unchanged()
    }

    private fun RelayState.recordAnswer(request: RelayRequest, now: Timestamp): RelayStep =
        applyEvidence(crashes.recordAnswer(request, now), now)
}
