package org.quetzalloom.core.selection

import kotlin.math.sqrt

/**
 * What ratings say of the quality of a version.
 *
 * @property good the number of answers rated good.
 * @property rated the number of answers rated.
 */
public data class QualityEstimate(
    public val good: Long = 0,
    public val rated: Long = 0,
) {
    init {
        require(good in 0..rated) { "$good good of $rated rated answers" }
    }

    /** Returns the estimate after both sets of ratings. */
    public operator fun plus(other: QualityEstimate): QualityEstimate =
        QualityEstimate(good = good + other.good, rated = rated + other.rated)

    /**
     * Returns the share of good answers, with [expected] counted as [PRIOR_RATINGS] ratings.
     */
    public fun mean(expected: Double): Double = (good + expected * PRIOR_RATINGS) / (rated + PRIOR_RATINGS)

    /** Returns the lower end of the confidence interval that is [deviations] standard deviations wide each way. */
    public fun lowerBound(expected: Double, deviations: Double): Double =
        mean(expected) - deviations * standardError(expected)

    /** Returns the upper end of the same interval. */
    public fun upperBound(expected: Double, deviations: Double): Double =
        mean(expected) + deviations * standardError(expected)

    private fun standardError(expected: Double): Double {
        val share = mean(expected)
        return sqrt(share * (1 - share) / (rated + PRIOR_RATINGS))
    }

    public companion object {
        /** The weight of the expected quality, in ratings. */
        public const val PRIOR_RATINGS: Int = 20
    }
}
