package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * This router's agreement that a roll-out may be completed. While it lasts, the router does not condemn the new
 * version, so that the leader can rely on its judgement.
 *
 * @property leader the router that made the proposal; this router itself while it writes the completion.
 * @property proposal the number of the proposal.
 * @property agreedAt when this router first agreed to the proposal.
 */
internal data class CompletionAgreement(val leader: VmId, val proposal: Long, val agreedAt: Timestamp) {
    /** Returns whether the agreement lasts at [now]. */
    fun isInForce(now: Timestamp): Boolean = now - agreedAt <= VALIDITY_MILLISECONDS

    private companion object {
        /** Longer than a proposal is open and the write of the completion may take together. */
        const val VALIDITY_MILLISECONDS = 2_500L
    }
}
