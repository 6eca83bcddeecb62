package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the phase that the roll-out should be in, or `null` if that is not for this router to decide. Any router
 * reverts a condemned version; only the leader starts and completes roll-outs. It completes one only while a backend
 * server of the new version is usable, and after the other routers have agreed.
 */
internal fun RelayState.targetPhase(progress: RolloutProgress, now: Timestamp): RolloutPhase? = when {
    progress.condemned -> RolloutPhase.REVERTED
    !members.isLeaderAt(now) -> null
    isCompletionAgreed(progress, now) && mayComplete(progress, now) -> RolloutPhase.COMPLETED
    else -> RolloutPhase.IN_PROGRESS
}

/** Returns whether the time to complete the roll-out of [progress] has come. */
internal fun RelayState.mayComplete(progress: RolloutProgress, now: Timestamp): Boolean =
    policies.exposure.mayComplete(elapsedShare(progress, now)) && newServerCount(progress, now) > 0

private fun RelayState.newServerCount(progress: RolloutProgress, now: Timestamp): Int =
    servers.usable(progress.order.service, now).count { it.listing.version == progress.order.version }

/** Returns the share of the roll-out's duration that has elapsed; more than 1 after its end. */
internal fun elapsedShare(progress: RolloutProgress, now: Timestamp): Double =
    progress.ageMilliseconds(now).toDouble() / progress.order.durationMilliseconds.coerceAtLeast(1)
