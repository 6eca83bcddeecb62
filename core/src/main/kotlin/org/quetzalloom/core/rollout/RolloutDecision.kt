package org.quetzalloom.core.rollout

/** What becomes of a roll-out. */
public sealed interface RolloutDecision {
    /** The share stays as it is. */
    public data object Keep : RolloutDecision

    /** The share becomes [sharePermille]. */
    public data class Share(public val sharePermille: Int) : RolloutDecision

    /** The old version takes every request again. */
    public data object Abort : RolloutDecision
}
