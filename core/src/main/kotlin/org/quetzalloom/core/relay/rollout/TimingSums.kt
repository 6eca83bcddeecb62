package org.quetzalloom.core.relay.rollout

/**
 * Sums over the times of one stage of a version's responses, compared with the usual times under the same load.
 *
 * @property count the number of times.
 * @property excess the sum of the natural logarithms of their ratios to the usual times.
 * @property excessSquares the sum of the squares of these logarithms.
 */
public data class TimingSums(
    public val count: Int = 0,
    public val excess: Double = 0.0,
    public val excessSquares: Double = 0.0,
) {
    /** The mean of the logarithms; 0 before the first time. */
    public val mean: Double get() = if (count == 0) 0.0 else excess / count

    /** The variance of the logarithms; 0 before the first time. */
    public val variance: Double
        get() = if (count == 0) 0.0 else (excessSquares / count - mean * mean).coerceAtLeast(0.0)

    /** Returns the sums over the times of this and [other]. */
    public operator fun plus(other: TimingSums): TimingSums =
        TimingSums(count + other.count, excess + other.excess, excessSquares + other.excessSquares)

    /** Returns the sums with one more time, the logarithm of whose ratio to the usual one is [logRatio]. */
    public fun record(logRatio: Double): TimingSums = this + TimingSums(1, logRatio, logRatio * logRatio)
}
