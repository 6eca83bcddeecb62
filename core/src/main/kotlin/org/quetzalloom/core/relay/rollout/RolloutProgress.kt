package org.quetzalloom.core.relay.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * What this router knows of one roll-out.
 *
 * @property firstSeenAt when the order was first read by this router, or by another one that reported an earlier time.
 * @property phase the phase in the store, or `null` while none is known.
 * @property old the outcomes of the old versions at this router.
 * @property new the outcomes of the new version at this router.
 * @property peerOutcomes the outcomes that the other routers have reported last.
 * @property condemned whether this router or another one has found the new version to be bad.
 * @property proposal this router's latest proposal to complete the roll-out, or `null` if it made none.
 * @property agreement this router's latest agreement to complete the roll-out, or `null` if it gave none.
 * @property writing whether a status is being written.
 * @property writeDueAt the earliest time to write the next status.
 */
internal data class RolloutProgress(
    val order: RolloutOrder,
    val firstSeenAt: Timestamp,
    val phase: RolloutPhase? = null,
    val old: OutcomeSums = OutcomeSums(),
    val new: OutcomeSums = OutcomeSums(),
    val peerOutcomes: PersistentMap<VmId, PeerOutcomes> = persistentMapOf(),
    val condemned: Boolean = false,
    val proposal: CompletionProposal? = null,
    val agreement: CompletionAgreement? = null,
    val writing: Boolean = false,
    val writeDueAt: Timestamp = Timestamp.EPOCH,
) {
    /** Whether the roll-out is neither completed nor reverted. */
    val open: Boolean get() = phase == null || phase == RolloutPhase.IN_PROGRESS

    /** The outcomes of the old versions at this router and all routers that have reported theirs. */
    val allOld: OutcomeSums get() = peerOutcomes.values.fold(old) { sums, outcomes -> sums + outcomes.old }

    /** The outcomes of the new version at this router and all routers that have reported theirs. */
    val allNew: OutcomeSums get() = peerOutcomes.values.fold(new) { sums, outcomes -> sums + outcomes.new }

    /** Returns the progress with [change] applied to this router's outcomes of [version]. */
    fun record(version: String, change: (OutcomeSums) -> OutcomeSums): RolloutProgress =
        if (version == order.version) copy(new = change(new)) else copy(old = change(old))

    /** Returns whether this router must not condemn the new version at [now]: it has agreed to the completion. */
    fun isBoundByAgreement(now: Timestamp): Boolean = agreement?.isInForce(now) ?: false

    /** Returns whether a status may be written at [now]: no other write is under way or has just ended. */
    fun mayWrite(now: Timestamp): Boolean = !writing && now >= writeDueAt
}
