package org.quetzalloom.core.rollout

import org.quetzalloom.core.time.Timestamp

/**
 * The slice of [RolloutPart].
 *
 * @property evaluatedAt when roll-outs were last looked at.
 * @property lastProposedRevision the revision that this VM last proposed a step on; one step is proposed on each.
 */
internal data class RolloutState(
    val evaluatedAt: Timestamp? = null,
    val lastProposedRevision: Long = 0,
)
