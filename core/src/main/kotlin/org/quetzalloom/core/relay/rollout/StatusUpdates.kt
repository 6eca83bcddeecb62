package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the transition that takes [entry] from the status feed. A roll-out that has ended does not begin anew: an
 * older copy of the store may have the phase before.
 */
internal fun RelayState.applyStatus(entry: FeedEntry.RolloutStatus, now: Timestamp): RelayStep {
    val progress = rollouts.byService[entry.service]?.takeIf { it.order.version == entry.version }
    return when {
        progress == null -> unchanged()
        progress.phase == entry.phase ->
            copy(rollouts = rollouts.with(progress.copy(unconfirmed = false))).unchanged()
        progress.open ->
            copy(rollouts = rollouts.with(progress.copy(phase = entry.phase, unconfirmed = false)))
                .report(now, "rollout_phase", "service" to entry.service, "phase" to entry.phase)
        else -> unchanged()
    }
}
