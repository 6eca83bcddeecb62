package org.quetzalloom.core.rollout

/** What a [RolloutPolicy] decides about a roll-out. */
public sealed interface RolloutDecision {
    /** Keeps the share. */
    public data object Keep : RolloutDecision

    /** Changes the share of the new version to [sharePermille] requests per thousand. */
    public data class Share(public val sharePermille: Int) : RolloutDecision

    /** Ends the roll-out: the two versions are again chosen by cost and quality alone. */
    public data object Abort : RolloutDecision
}
