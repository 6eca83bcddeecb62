package org.quetzalloom.core.rollout

import org.quetzalloom.core.configuration.Rollout

/** Decides how far a roll-out goes. */
public fun interface RolloutPolicy {
    /** Returns what becomes of [rollout] in the light of [evidence]. */
    public fun decide(rollout: Rollout, evidence: RolloutEvidence): RolloutDecision
}
