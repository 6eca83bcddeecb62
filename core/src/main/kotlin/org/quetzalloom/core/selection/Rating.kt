package org.quetzalloom.core.selection

/**
 * The verdict of the rating service on one sampled answer.
 *
 * @property subject what the answer was produced by and for.
 * @property good whether the answer is good enough.
 */
public data class Rating(
    public val subject: RatingSubject,
    public val good: Boolean,
)
