package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.peer.sendBeaconToAll
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Sends a beacon to all other routers at once if the event has changed what they must know of a roll-out before the
 * next request of a session may reach them. Runs after the parts that make such changes.
 */
internal object RolloutNoticesPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep {
        val due = state.rollouts.byService.values.filter { it.noticeDue }
        if (due.isEmpty()) return state.unchanged()
        val rollouts = due.fold(state.rollouts) { current, progress -> current.with(progress.copy(noticeDue = false)) }
        return state.copy(rollouts = rollouts).sendBeaconToAll(now)
    }
}
