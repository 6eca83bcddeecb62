package org.quetzalloom.core.relay.member

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** Returns the transition that ends this router's leadership if the group has not confirmed it for too long. */
internal fun RelayState.endLeadershipIfUnconfirmed(now: Timestamp): RelayStep =
    if (members.isLeader && !members.isLeaderAt(now)) endLeadership("not_confirmed", now) else unchanged()

/**
 * Returns the transition that ends this router's leadership until a call that is sent after the pause confirms it: the
 * monotonic clock may have stood still, so it does not tell the age of the last confirmation.
 */
internal fun RelayState.endLeadershipAfterPause(event: RelayEvent.PauseDetected, now: Timestamp): RelayStep =
    copy(members = members.copy(pausedAt = now))
        .report(now, "pause_detected", "milliseconds" to event.milliseconds)
        .then { if (it.members.isLeader) it.endLeadership("paused", now) else it.unchanged() }

private fun RelayState.endLeadership(reason: String, now: Timestamp): RelayStep =
    copy(members = members.copy(isLeader = false)).report(
        now,
        "duty_lost",
        "reason" to reason,
        "confirmed_ms_ago" to members.joinedAt?.let { now - it },
    )
