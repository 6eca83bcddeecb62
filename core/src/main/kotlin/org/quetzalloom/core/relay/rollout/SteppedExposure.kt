package org.quetzalloom.core.relay.rollout

/**
 * A small share first, which stays well under the bound on the exposure to a bad version; then a larger one for a short
 * time, as some versions fail only under load; then all.
 */
public object SteppedExposure : ExposurePolicy {
    /** Share of requests in the first step; the platform allows a bad version 0.15 of all. */
    private const val FIRST_SHARE = 0.1
    private const val SECOND_SHARE = 0.4

    /** Shares of the roll-out's time. Old backend servers need the rest of it to finish their streams. */
    private const val SECOND_STEP_AT = 0.52
    private const val LAST_STEP_AT = 0.62
    private const val COMPLETION_AT = 0.85

    /** In the first half a session stays on its version. */
    private const val SESSIONS_MOVE_AT = 0.52

    /** Three failures at once are no accident where the old version has few. */
    private const val FEWEST_FAILURES = 3
    private const val FAILURE_SHARE = 0.2
    private const val FAILURE_FACTOR = 2.0

    /** A mean over fewer answers depends too much on the prompts that came. */
    private const val FEWEST_LATENCIES = 8
    private const val SLOWER_FACTOR = 3.0
    private val SLOWER = Math.log(SLOWER_FACTOR)

    override fun share(elapsed: Double): Double = when {
        elapsed < SECOND_STEP_AT -> FIRST_SHARE
        elapsed < LAST_STEP_AT -> SECOND_SHARE
        else -> 1.0
    }

    override fun mayMoveSessions(elapsed: Double): Boolean = elapsed >= SESSIONS_MOVE_AT

    override fun mayComplete(elapsed: Double): Boolean = elapsed >= COMPLETION_AT

    override fun isBad(old: OutcomeSums, new: OutcomeSums): Boolean = fails(old, new) || isSlow(old, new)

    private fun fails(old: OutcomeSums, new: OutcomeSums): Boolean = new.failures >= FEWEST_FAILURES &&
        new.failureRate >= FAILURE_SHARE && new.failureRate > FAILURE_FACTOR * old.failureRate

    private fun isSlow(old: OutcomeSums, new: OutcomeSums): Boolean =
        minOf(old.answers, new.answers) >= FEWEST_LATENCIES && new.meanLogLatency - old.meanLogLatency > SLOWER
}
