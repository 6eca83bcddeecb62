package org.quetzalloom.core.rollout

import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.selection.QualityEstimate

/** What is known about both versions of a roll-out, over all workspaces and classes. */
public data class RolloutEvidence(
    public val from: Version,
    public val to: Version,
    public val fromEstimate: QualityEstimate,
    public val toEstimate: QualityEstimate,
)
