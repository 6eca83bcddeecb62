package org.quetzalloom.core.rollout

import org.quetzalloom.core.time.Timestamp

/**
 * The state of [RolloutPart].
 *
 * @property evaluatedAt when roll-outs were last evaluated, or `null` before the first time.
 * @property lastProposedRevision the configuration revision that the last proposal of this VM was based on, or 0 before
 *   the first. A VM proposes at most one step per revision.
 */
internal data class RolloutState(
    val evaluatedAt: Timestamp? = null,
    val lastProposedRevision: Long = 0,
)
