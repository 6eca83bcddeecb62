package org.quetzalloom.core.selection

/**
 * The verdict of the rating service on one sampled answer.
 *
 * @property subject the workspace, request class and version of the answer.
 * @property good whether the rating service found the answer good.
 */
public data class Rating(
    public val subject: RatingSubject,
    public val good: Boolean,
)
