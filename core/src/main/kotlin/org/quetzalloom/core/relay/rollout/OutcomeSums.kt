package org.quetzalloom.core.relay.rollout

/**
 * Sums over the responses of a version.
 *
 * @property answers the number of responses, failures included.
 * @property failures the number of responses that were server failures.
 * @property logLatency the sum of the natural logarithms of the milliseconds that the responses took to begin.
 * @property starts the times until responses began, compared with usual ones.
 * @property events the times between the events of streams, compared with usual ones.
 */
public data class OutcomeSums(
    public val answers: Int = 0,
    public val failures: Int = 0,
    public val logLatency: Double = 0.0,
    public val starts: TimingSums = TimingSums(),
    public val events: TimingSums = TimingSums(),
) {
    /** The share of responses that were failures, from 0 to 1; 0 before the first response. */
    public val failureRate: Double get() = if (answers == 0) 0.0 else failures.toDouble() / answers

    /** The natural logarithm of the geometric mean latency in milliseconds; 0 before the first response. */
    public val meanLogLatency: Double get() = if (answers == 0) 0.0 else logLatency / answers

    /** Returns the sums over the responses of this and [other]. */
    public operator fun plus(other: OutcomeSums): OutcomeSums = OutcomeSums(
        answers = answers + other.answers,
        failures = failures + other.failures,
        logLatency = logLatency + other.logLatency,
        starts = starts + other.starts,
        events = events + other.events,
    )

    /** Returns the sums with one more response, which took [latencyMilliseconds] to begin. */
    public fun record(failed: Boolean, latencyMilliseconds: Long): OutcomeSums = copy(
        answers = answers + 1,
        failures = if (failed) failures + 1 else failures,
        logLatency = logLatency + Math.log(latencyMilliseconds.coerceAtLeast(1).toDouble()),
    )

    /** Returns the sums with one more time of [stage], the logarithm of whose ratio to the usual one is [logRatio]. */
    internal fun recordTiming(stage: TimedStage, logRatio: Double): OutcomeSums = when (stage) {
        TimedStage.START -> copy(starts = starts.record(logRatio))
        TimedStage.EVENT -> copy(events = events.record(logRatio))
    }
}
