package org.quetzalloom.core.relay.rollout

/**
 * Sends a canary share of the requests to the new version first, and all requests in a last step that starts so late
 * that the limit holds even for a bad version that is never recognized.
 *
 * Some versions fail only under a load that the canary share does not reach, or long after their start. The two steps
 * together give the new version two thirds of the limit; the rest allows for a burst of requests at the end.
 */
public object SteppedExposure : ExposurePolicy {
    /** The first step's share of requests, as a part of the limit. Some dozen requests expose most bad versions. */
    private const val FIRST_STEP_SHARE_OF_LIMIT = 0.2

    /** The last step's share of the roll-out's duration, as a part of the limit. */
    private const val LAST_STEP_TIME_OF_LIMIT = 0.45

    /**
     * When the roll-out may be completed. The time left allows for the agreement of the other routers and several
     * attempts to write the status to the store. Requests that old backend servers still work on continue at new ones.
     */
    private const val COMPLETION_AT = 0.96

    /** Sessions stay on their version for the first half of the roll-out. */
    private const val SESSIONS_MOVE_AT = 0.52

    /** Three failures within a few requests are no coincidence where the old version rarely fails. */
    private const val MINIMUM_FAILURES = 3
    private const val MINIMUM_FAILURE_RATE = 0.2
    private const val FAILURE_FACTOR = 2.0

    /** The mean latency of fewer responses, of all routers together, depends too much on the prompts in the sample. */
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
