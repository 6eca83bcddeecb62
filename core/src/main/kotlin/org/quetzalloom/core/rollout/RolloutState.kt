package org.quetzalloom.core.rollout

import org.quetzalloom.core.time.Timestamp

/**
 * The slice of [RolloutPart].
 *
 * @property decidedAt when roll-outs were last looked at.
 * @property proposedOn the revision that this VM last proposed a step on; one step is proposed on each.
 */
internal data class RolloutState(
    val decidedAt: Timestamp? = null,
    val proposedOn: Long = 0,
)
