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
    private const val FIRST_STEP_SHARE_OF_LIMIT = 0.2

    /** The last step's share of the time, as a part of the limit. */
    private const val LAST_STEP_TIME_OF_LIMIT = 0.45

    /**
     * The store needs some tries to take the status in the time that is left. What old backend servers still work on
     * then goes on at new ones.
     */
    private const val COMPLETION_AT = 0.97

    /** In the first half a session stays on its version. */
    private const val SESSIONS_MOVE_AT = 0.52

    /** Three failures at once are no accident where the old version has few. */
    private const val MINIMUM_FAILURES = 3
    private const val MINIMUM_FAILURE_RATE = 0.2
    private const val FAILURE_FACTOR = 2.0

    /** A mean over fewer answers of all routers depends too much on the prompts that came. */
    private const val MINIMUM_LATENCIES = 16
    private const val LATENCY_FACTOR = 3.0
    private val LOG_LATENCY_FACTOR = Math.log(LATENCY_FACTOR)

    override fun share(elapsed: Double, limit: Double): Double =
        if (elapsed < 1 - LAST_STEP_TIME_OF_LIMIT * limit) FIRST_STEP_SHARE_OF_LIMIT * limit else 1.0

    override fun mayMoveSessions(elapsed: Double): Boolean = elapsed >= SESSIONS_MOVE_AT

    override fun mayComplete(elapsed: Double): Boolean = elapsed >= COMPLETION_AT

    override fun isBad(old: OutcomeSums, new: OutcomeSums): Boolean = failsMoreOften(old, new) || isSlow(old, new)

    private fun failsMoreOften(old: OutcomeSums, new: OutcomeSums): Boolean = new.failures >= MINIMUM_FAILURES &&
        new.failureRate >= MINIMUM_FAILURE_RATE && new.failureRate > FAILURE_FACTOR * old.failureRate

    private fun isSlow(old: OutcomeSums, new: OutcomeSums): Boolean =
        minOf(old.answers, new.answers) >= MINIMUM_LATENCIES &&
            new.meanLogLatency - old.meanLogLatency > LOG_LATENCY_FACTOR
}
