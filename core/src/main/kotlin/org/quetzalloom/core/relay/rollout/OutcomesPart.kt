package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.CurrentAttempt
import org.quetzalloom.core.relay.exchange.mayMove
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Counts the outcomes of the old and the new version during a roll-out, and condemns a new version that is bad. Learns
 * at all times how long responses usually take.
 *
 * Refusals are not counted. An attempt that ends without a complete response is counted if it has taken too long.
 */
internal object OutcomesPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.ResponseStarted -> state.responseStarted(event, now)
        is RelayEvent.ResponseProgressed -> state.recordEvents(
            state.exchanges.currentOrNull(event.exchange, event.attempt),
            event.events,
            now,
        )
        is RelayEvent.ResponseFinished -> state.recordEvents(
            state.exchanges.currentOrNull(event.exchange, event.attempt)?.takeUnless { it.attempt.eventsTimed },
            event.events,
            now,
        )
        is RelayEvent.AttemptFailed -> state.recordIncompleteOrNothing(
            state.exchanges.currentOrNull(event.exchange, event.attempt)?.takeIf { event.failure.mayHaveArrived },
            now,
        )
        is RelayEvent.AttemptStalled -> state.recordIncompleteOrNothing(
            state.exchanges.currentOrNull(event.exchange, event.attempt)?.takeIf { state.mayMove(it, now) },
            now,
        )
        is RelayEvent.CallerLeft ->
            state.recordIncompleteOrNothing(state.exchanges.byId[event.exchange]?.currentAttemptOrNull, now)
        RelayEvent.Tick -> state.recordExpiring(now)
        else -> state.unchanged()
    }

    private fun RelayState.responseStarted(event: RelayEvent.ResponseStarted, now: Timestamp): RelayStep {
        val current = exchanges.currentOrNull(event.exchange, event.attempt)?.takeUnless { event.head.notRun }
            ?: return unchanged()
        val (exchange, attempt) = current
        return recordOutcome(current, event.head.isServerFailure, now)
            .then { it.recordTiming(exchange, attempt, Timing.start(exchange, attempt, now), now) }
    }

    private fun RelayState.recordOutcome(current: CurrentAttempt, failed: Boolean, now: Timestamp): RelayStep {
        val progress = rollouts.byService[current.exchange.service]?.takeIf { it.open } ?: return unchanged()
        val latency = now - current.attempt.sentAt
        return condemnIfBad(progress.record(current.attempt.version) { it.record(failed, latency) }, now)
    }

    private fun RelayState.recordEvents(current: CurrentAttempt?, events: Int, now: Timestamp): RelayStep {
        val (exchange, attempt) = current ?: return unchanged()
        val timing = Timing.eventOrNull(exchange, attempt, events, now)
        return if (timing == null) unchanged() else recordTiming(exchange, attempt, timing, now)
    }

    private fun RelayState.recordIncompleteOrNothing(current: CurrentAttempt?, now: Timestamp): RelayStep =
        if (current == null) unchanged() else recordIncomplete(current, now)

    /** Counts the attempts whose deadline has passed, before they are cancelled. */
    private fun RelayState.recordExpiring(now: Timestamp): RelayStep {
        if (rollouts.active.isEmpty()) return unchanged()
        val expiring = exchanges.byId.values.filter { now >= it.deadlineAt }.mapNotNull { it.currentAttemptOrNull }
        return unchanged().thenEach(expiring) { state, current -> state.recordIncomplete(current, now) }
    }
}
