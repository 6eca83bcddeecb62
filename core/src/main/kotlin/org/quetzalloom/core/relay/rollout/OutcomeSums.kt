package org.quetzalloom.core.relay.rollout

/**
 * Sums over the answers of one version.
 *
 * @property answers how many were counted.
 * @property failures how many of them were failures.
 * @property logLatency the sum of the natural logarithms of the milliseconds that answers took to begin.
 */
public data class OutcomeSums(
    public val answers: Int = 0,
    public val failures: Int = 0,
    public val logLatency: Double = 0.0,
) {
    /** The share of failures; 0 before the first answer. */
    public val failureRate: Double get() = if (answers == 0) 0.0 else failures.toDouble() / answers

    /** The logarithm of the geometric mean of the latencies; 0 before the first answer. */
    public val meanLogLatency: Double get() = if (answers == 0) 0.0 else logLatency / answers

    /** Returns the sums over the answers of both. */
    public operator fun plus(other: OutcomeSums): OutcomeSums = OutcomeSums(
        answers = answers + other.answers,
        failures = failures + other.failures,
        logLatency = logLatency + other.logLatency,
    )

    /** Returns the sums with one more answer, which took [latencyMilliseconds] to begin. */
    public fun record(failed: Boolean, latencyMilliseconds: Long): OutcomeSums = OutcomeSums(
        answers = answers + 1,
        failures = if (failed) failures + 1 else failures,
        logLatency = logLatency + Math.log(latencyMilliseconds.coerceAtLeast(1).toDouble()),
    )
}
