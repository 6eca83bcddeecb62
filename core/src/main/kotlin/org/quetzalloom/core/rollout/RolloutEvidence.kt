package org.quetzalloom.core.rollout

import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.selection.QualityEstimate

/**
 * The two versions of a roll-out with their quality estimates over all workspaces and request classes.
 *
 * @property from the old version.
 * @property to the new version.
 */
public data class RolloutEvidence(
    public val from: Version,
    public val to: Version,
    public val fromEstimate: QualityEstimate,
    public val toEstimate: QualityEstimate,
)
