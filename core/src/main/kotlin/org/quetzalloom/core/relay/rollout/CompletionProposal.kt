package org.quetzalloom.core.relay.rollout

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * This router's proposal, as the leader, to complete a roll-out.
 *
 * @property number identifies the proposal among those of this router; later ones have higher numbers.
 * @property agreed the routers that have agreed.
 */
internal data class CompletionProposal(
    val number: Long,
    val madeAt: Timestamp,
    val agreed: PersistentSet<VmId> = persistentSetOf(),
) {
    /** Returns whether the roll-out may be completed on this proposal at [now]; the agreements last longer. */
    fun isOpen(now: Timestamp): Boolean = now - madeAt <= OPEN_MILLISECONDS

    /** Returns whether the other routers have had time to agree at [now]. */
    fun isAnswerDue(now: Timestamp): Boolean = now - madeAt >= ANSWER_MILLISECONDS

    private companion object {
        const val OPEN_MILLISECONDS = 1_000L

        /** Allows for a lost beacon in each direction. */
        const val ANSWER_MILLISECONDS = 400L
    }
}
