package org.quetzalloom.core.selection

/**
 * The process and period that ratings were collected in. The sums of one origin only grow.
 *
 * @property collector the VM and its incarnation, as `vm:incarnation`.
 * @property period the number of the rating period, counted from the Unix epoch.
 */
public data class RatingOrigin(
    public val collector: String,
    public val period: Long,
)
