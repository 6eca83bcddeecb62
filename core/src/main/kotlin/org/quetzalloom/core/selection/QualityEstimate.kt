package org.quetzalloom.core.selection

import kotlin.math.sqrt

/**
 * Counts of ratings, from which the quality of a version is estimated.
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

    /** Returns the estimate from the ratings of both. */
    public operator fun plus(other: QualityEstimate): QualityEstimate =
        QualityEstimate(good = good + other.good, rated = rated + other.rated)

    /**
     * Returns the estimated share of good answers, 0.0 to 1.0.
     *
     * @param expected the share to expect without ratings; it weighs as much as [PRIOR_RATINGS] ratings.
     */
    public fun mean(expected: Double): Double = (good + expected * PRIOR_RATINGS) / (rated + PRIOR_RATINGS)

    /** Returns the lower end of the confidence interval that extends [deviations] standard errors around the [mean]. */
    public fun lowerBound(expected: Double, deviations: Double): Double =
        mean(expected) - deviations * standardError(expected)

    /** Returns the upper end of the confidence interval that extends [deviations] standard errors around the [mean]. */
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
