package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.time.Timestamp

/** Returns the phase that the roll-out should be in, as far as this router may say, or `null`. */
internal fun RelayState.targetPhase(progress: RolloutProgress, now: Timestamp): RolloutPhase? = when {
    progress.condemned -> RolloutPhase.REVERTED
    !members.holdsDuty -> null
    mayComplete(progress, now) -> RolloutPhase.COMPLETED
    else -> RolloutPhase.IN_PROGRESS
}

private fun RelayState.mayComplete(progress: RolloutProgress, now: Timestamp): Boolean =
    policies.exposure.mayComplete(elapsedShare(progress, now)) && newServerCount(progress, now) > 0

private fun RelayState.newServerCount(progress: RolloutProgress, now: Timestamp): Int =
    servers.usable(progress.order.service, now).count { it.listing.version == progress.order.version }

/** Returns the share of the time of [progress] that has passed. */
internal fun elapsedShare(progress: RolloutProgress, now: Timestamp): Double =
    (now - progress.firstSeenAt).toDouble() / progress.order.durationMilliseconds.coerceAtLeast(1)
