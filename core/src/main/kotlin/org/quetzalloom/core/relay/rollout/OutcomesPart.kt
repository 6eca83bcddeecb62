package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.CurrentAttempt
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Counts the responses of the old and the new version during a roll-out, and condemns a new version that is bad.
 * Refusals and attempts that end without a response are not counted.
 */
internal object OutcomesPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep {
        val current = (event as? RelayEvent.ResponseStarted)?.takeUnless { it.head.notRun }
            ?.let { state.exchanges.currentOrNull(it.exchange, it.attempt) }
        return if (current == null) state.unchanged() else state.recordOutcome(current, event.head.isServerFailure, now)
    }

    private fun RelayState.recordOutcome(current: CurrentAttempt, failed: Boolean, now: Timestamp): RelayStep {
        val progress = rollouts.byService[current.exchange.service]?.takeIf { it.open } ?: return unchanged()
        val latency = now - current.attempt.sentAt
        val next = if (current.attempt.version == progress.order.version) {
            progress.copy(new = progress.new.record(failed, latency))
        } else {
            progress.copy(old = progress.old.record(failed, latency))
        }
        return condemnIfBad(next, now)
    }
}
