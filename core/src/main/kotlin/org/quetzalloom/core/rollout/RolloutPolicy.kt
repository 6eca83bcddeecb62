package org.quetzalloom.core.rollout

import org.quetzalloom.core.configuration.Rollout

/** The policy that decides when a roll-out goes on or is aborted. */
public fun interface RolloutPolicy {
    /** Returns the decision on [rollout] that follows from [evidence]. */
    public fun decide(rollout: Rollout, evidence: RolloutEvidence): RolloutDecision
}
