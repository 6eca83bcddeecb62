package org.quetzalloom.core.selection

/**
 * Where and when ratings were collected. Sums of one origin only grow.
 *
 * @property collector names one start of one VM.
 * @property period the number of the rating period, counted from the epoch.
 */
public data class RatingOrigin(
    public val collector: String,
    public val period: Long,
)
