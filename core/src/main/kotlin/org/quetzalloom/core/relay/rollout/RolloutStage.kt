package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.time.Timestamp

/** The time after an order in which all routers read it and tell each other of the sessions under way. */
private const val SETTLING_MILLISECONDS = 2_500L

/** The longest part of a roll-out's duration that it may take until sessions start on the new version. */
private const val MAXIMUM_SETTLING_SHARE = 0.2

/**
 * How far a roll-out has come, which decides the requests that the new version gets.
 *
 * @property sessionsStart whether sessions may start on the new version.
 * @property sessionsMove whether sessions may move from an old version to the new one.
 * @property share the share of requests that the new version gets, from 0 to 1.
 */
internal data class RolloutStage(
    val sessionsStart: Boolean = false,
    val sessionsMove: Boolean = false,
    val share: Double = 0.0,
) {
    /** Whether the new version gets all requests. */
    val isLast: Boolean get() = share >= 1
}

/** Returns the stage of the roll-out of [progress] at [now]. */
internal fun RelayState.stageOf(progress: RolloutProgress, now: Timestamp): RolloutStage {
    val elapsed = elapsedShare(progress, now)
    val settled = progress.ageMilliseconds(now) >= SETTLING_MILLISECONDS || elapsed >= MAXIMUM_SETTLING_SHARE
    return RolloutStage(
        sessionsStart = settled,
        sessionsMove = policies.exposure.mayMoveSessions(elapsed),
        share = policies.exposure.share(elapsed, settings.exposureLimit),
    )
}
