package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.peer.sendBeaconToAll
import org.quetzalloom.core.relay.report
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
        val told = state.copy(rollouts = rollouts).sendBeaconToAll(now)
        return if (told.effects.isEmpty()) {
            told
        } else {
            told.thenEach(due) { current, progress -> current.reportNotice(progress, now) }
        }
    }

    private fun RelayState.reportNotice(progress: RolloutProgress, now: Timestamp): RelayStep = report(
        now,
        "rollout_notice_sent",
        "service" to progress.order.service,
        "version" to progress.order.version,
        "share" to progress.stage.share,
        "sessions_start" to progress.stage.sessionsStart,
        "sessions_move" to progress.stage.sessionsMove,
        "old_sessions" to progress.oldSessions.size,
        "heavy_sessions" to progress.heavySessions.size,
        "condemned" to progress.condemned,
    )
}
