package org.quetzalloom.core.relay.rollout

/**
 * A small share first; then all, so late that a bad version stays under the limit even if it never shows that.
 *
 * Some versions fail only under a load that they do not reach, or long after their start. With the first share over the
 * whole time and all requests from the last step on, a version gets two thirds of the limit; the rest is for a burst at
 * the end.
 */
public object SteppedExposure : ExposurePolicy {
    /** The share of requests in the first step, as a part of the limit: some dozen requests find most bad versions. */
    private const val FIRST_PART = 0.2

    /** The last step's share of the time, as a part of the limit. */
    private const val LAST_PART = 0.45

    /**
     * The store needs some tries to take the status in the time that is left. What old backend servers still work on
     * then goes on at new ones.
     */
    private const val COMPLETION_AT = 0.97

    /** In the first half a session stays on its version. */
    private const val SESSIONS_MOVE_AT = 0.52

    /** Three failures at once are no accident where the old version has few. */
    private const val FEWEST_FAILURES = 3
    private const val FAILURE_SHARE = 0.2
    private const val FAILURE_FACTOR = 2.0

    /** A mean over fewer answers of all routers depends too much on the prompts that came. */
    private const val FEWEST_LATENCIES = 16
    private const val SLOWER_FACTOR = 3.0
    private val SLOWER = Math.log(SLOWER_FACTOR)

    override fun share(elapsed: Double, limit: Double): Double =
        if (elapsed < 1 - LAST_PART * limit) FIRST_PART * limit else 1.0

    override fun mayMoveSessions(elapsed: Double): Boolean = elapsed >= SESSIONS_MOVE_AT

    override fun mayComplete(elapsed: Double): Boolean = elapsed >= COMPLETION_AT

    override fun isBad(old: OutcomeSums, new: OutcomeSums): Boolean = fails(old, new) || isSlow(old, new)

    private fun fails(old: OutcomeSums, new: OutcomeSums): Boolean = new.failures >= FEWEST_FAILURES &&
        new.failureRate >= FAILURE_SHARE && new.failureRate > FAILURE_FACTOR * old.failureRate

    private fun isSlow(old: OutcomeSums, new: OutcomeSums): Boolean =
        minOf(old.answers, new.answers) >= FEWEST_LATENCIES && new.meanLogLatency - old.meanLogLatency > SLOWER
}
