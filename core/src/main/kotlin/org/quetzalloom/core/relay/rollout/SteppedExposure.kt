package org.quetzalloom.core.relay.rollout

/**
 * Sends a canary share of the requests to the new version first, and all requests in a last step that starts so late
 * that the limit holds even for a bad version that is never recognized.
 *
 * Some versions fail only under a load that the canary share does not reach, or long after their start. The two steps
 * together give the new version seven tenths of the limit; the rest allows for a burst of requests at the end.
 */
public object SteppedExposure : ExposurePolicy {
    /** The first step's share of requests, as a part of the limit. Some dozen requests expose most bad versions. */
    private const val FIRST_STEP_SHARE_OF_LIMIT = 0.3

    /** The last step's share of the roll-out's duration, as a part of the limit. */
    private const val LAST_STEP_TIME_OF_LIMIT = 0.42

    /** What the new version may get before the last step, as a part of the limit, and beyond that a few responses. */
    private const val TOLERATED_SHARE_OF_LIMIT = 0.4
    private const val TOLERATED_RESPONSES = 10

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

    /** Fewer times may be those of one request and its retries. */
    private const val MINIMUM_TIMES = 4

    /** The mean rise, as a natural logarithm, from which a version is slow. Equal backend servers differ by less. */
    private const val MINIMUM_EXCESS = 0.5

    /** The mean rise of a slow version, in standard errors. Less may be due to the sample. */
    private const val MINIMUM_STANDARD_ERRORS = 3.0

    /** The standard deviation is never taken to be lower, as the new version is measured under other conditions. */
    private const val MINIMUM_VARIANCE = 0.16

    override fun share(elapsed: Double, limit: Double): Double =
        if (elapsed < 1 - LAST_STEP_TIME_OF_LIMIT * limit) FIRST_STEP_SHARE_OF_LIMIT * limit else 1.0

    override fun mayMoveSessions(elapsed: Double): Boolean = elapsed >= SESSIONS_MOVE_AT

    override fun isExcessive(old: Int, new: Int, limit: Double): Boolean =
        new > TOLERATED_RESPONSES + TOLERATED_SHARE_OF_LIMIT * limit * (old + new)

    override fun mayComplete(elapsed: Double): Boolean = elapsed >= COMPLETION_AT

    override fun isBad(old: OutcomeSums, new: OutcomeSums): Boolean = failsMoreOften(old, new) ||
        isSlower(old.starts, new.starts) || isSlower(old.events, new.events)

    private fun failsMoreOften(old: OutcomeSums, new: OutcomeSums): Boolean = new.failures >= MINIMUM_FAILURES &&
        new.failureRate >= MINIMUM_FAILURE_RATE && new.failureRate > FAILURE_FACTOR * old.failureRate

    /** Compares times relative to the usual ones under the same load, of which the new version has less at first. */
    private fun isSlower(old: TimingSums, new: TimingSums): Boolean {
        if (minOf(old.count, new.count) < MINIMUM_TIMES) return false
        val variance = maxOf(old.variance, MINIMUM_VARIANCE)
        val standardError = Math.sqrt(variance / old.count + variance / new.count)
        return new.mean - old.mean >= maxOf(MINIMUM_EXCESS, MINIMUM_STANDARD_ERRORS * standardError)
    }
}
