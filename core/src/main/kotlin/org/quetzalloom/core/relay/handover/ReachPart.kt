package org.quetzalloom.core.relay.handover

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.CurrentAttempt
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.server.connectionShare
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

/**
 * Decides whether this router reaches the backend servers of each service at all: not if several of them in a row do
 * not react while none reacts. It tells the other routers at once, and probes servers by connecting to them until one
 * accepts the connection.
 */
internal object ReachPart : RelayPart {
    /** A request that may not be repeated has no timeout of its own; its server did not react if it takes longer. */
    private const val LEAST_SILENCE_MILLISECONDS = 500L
    private const val SILENCE_TARGETS = 2

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.ResponseStarted -> state.reacted(state.currentOrNull(event.exchange, event.attempt), now)
        is RelayEvent.AttemptStalled -> state.unreached(state.currentOrNull(event.exchange, event.attempt), now)
        is RelayEvent.AttemptFailed -> {
            val current = state.currentOrNull(event.exchange, event.attempt)
            when {
                event.failure == AttemptFailure.NO_CONNECTION_LEFT -> state.unchanged()
                event.failure.serverSuspect -> state.unreached(current, now)
                else -> state.reacted(current, now)
            }
        }
        is RelayEvent.ServerProbed -> state.probed(event, now)
        RelayEvent.Tick -> state.noteSilence(now).then { it.probeIfDue(now) }
        else -> state.unchanged()
    }

    private fun RelayState.currentOrNull(exchange: ExchangeId, attempt: Int): CurrentAttempt? =
        exchanges.currentOrNull(exchange, attempt)

    private fun RelayState.reacted(current: CurrentAttempt?, now: Timestamp): RelayStep =
        if (current == null) unchanged() else reached(current.exchange.service, "response", now)

    private fun RelayState.unreached(current: CurrentAttempt?, now: Timestamp): RelayStep =
        if (current == null) unchanged() else unreached(current.exchange.service, current.attempt.server, now)

    private fun RelayState.noteSilence(now: Timestamp): RelayStep {
        val silent = exchanges.byId.values.mapNotNull { it.currentAttemptOrNull }.filter { (exchange, attempt) ->
            val target = exchange.route.targetMilliseconds * SILENCE_TARGETS
            !exchange.route.mayRunAgain && attempt.startedAt == null &&
                now - attempt.sentAt > maxOf(target, LEAST_SILENCE_MILLISECONDS) &&
                attempt.server !in reach.of(exchange.service).unreached
        }
        return unchanged().thenEach(silent) { current, attempt -> current.unreached(attempt, now) }
    }

    private fun RelayState.probeIfDue(now: Timestamp): RelayStep {
        val due = reach.byService.filterValues { it.cutOffAt != null && !it.probing && now >= it.probeAt }.keys
        return unchanged().thenEach(due) { current, service -> current.probe(service, now) }
    }

    private fun RelayState.probe(service: ServiceName, now: Timestamp): RelayStep {
        val known = reach.of(service)
        val view = wantedServers(service).minByOrNull { stableHash(it.listing.id, known.probes) }
            // Without servers there is nothing to reach.
            ?: return reached(service, "none_listed", now)
        val next = copy(reach = reach.with(service, known.copy(probes = known.probes + 1, probing = true)))
        val listing = view.listing
        return next.with(RelayEffect.ProbeServer(service, listing.id, listing.address, connectionShare(service)))
    }

    private fun RelayState.probed(event: RelayEvent.ServerProbed, now: Timestamp): RelayStep {
        val known = reach.byService[event.service] ?: return unchanged()
        return if (event.connected) {
            copy(servers = servers.update(event.server) { it.copy(suspendedUntil = now) })
                .reached(event.service, "probe", now)
        } else {
            val retry = known.copy(probing = false, probeAt = now + PROBE_INTERVAL_MILLISECONDS)
            copy(reach = reach.with(event.service, retry)).unchanged()
        }
    }
}
