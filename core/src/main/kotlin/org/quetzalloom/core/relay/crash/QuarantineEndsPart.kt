package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.exchange.cancelAttempt
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Cancels the attempts of requests whose content has just been quarantined, before their servers crash: those with no
 * response yet, and those whose response has only just begun.
 */
internal object QuarantineEndsPart : RelayPart {
    /** A response that began longer ago has passed the point at which servers crash. */
    private const val DANGEROUS_START_MILLISECONDS = 500L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep {
        val crashes = state.crashes
        if (crashes.quarantined == crashes.enforced) return state.unchanged()
        val added = crashes.quarantined - crashes.enforced
        val endangered = state.exchanges.byId.values.filter { it.isEndangered(added, now) }.sortedBy { it.id }
        return state.copy(crashes = crashes.copy(enforced = crashes.quarantined)).unchanged()
            .thenEach(endangered) { current, exchange -> current.endAttempt(exchange, now) }
    }

    private fun Exchange.isEndangered(added: Set<ContentKey>, now: Timestamp): Boolean {
        val current = attempt ?: return false
        val beginsToWrite = current.startedAt?.let { now - it < DANGEROUS_START_MILLISECONDS } ?: true
        return beginsToWrite && request.contentKeys.any { it in added }
    }

    private fun RelayState.endAttempt(exchange: Exchange, now: Timestamp): RelayStep = cancelAttempt(exchange).then {
        val cancelled = exchange.copy(attempt = null, mayHaveRun = true)
        it.refuseQuarantined(cancelled, it.quarantinedKeys(cancelled), now)
    }
}
