package org.quetzalloom.core.relay.rollout

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * What this router knows of one roll-out.
 *
 * @property firstSeenAt when the order was first read, by this router or by one that told of it.
 * @property phase the phase in the store, or `null` while none is known.
 * @property old this router's outcomes of the versions before.
 * @property new this router's outcomes of the new version.
 * @property peerOutcomes the outcomes that other routers have told.
 * @property condemned whether the outcomes of the new version were found to be bad.
 * @property writing whether a status is being written.
 * @property writeDueAt when the next status may be written.
 */
internal data class RolloutProgress(
    val order: RolloutOrder,
    val firstSeenAt: Timestamp,
    val phase: RolloutPhase? = null,
    val old: OutcomeSums = OutcomeSums(),
    val new: OutcomeSums = OutcomeSums(),
    val peerOutcomes: PersistentMap<VmId, PeerOutcomes> = persistentMapOf(),
    val condemned: Boolean = false,
    val writing: Boolean = false,
    val writeDueAt: Timestamp = Timestamp.EPOCH,
) {
    /** Whether it is neither completed nor reverted. */
    val open: Boolean get() = phase == null || phase == RolloutPhase.IN_PROGRESS

    /** The outcomes of the versions before, of all routers that were heard. */
    val allOld: OutcomeSums get() = peerOutcomes.values.fold(old) { sums, outcomes -> sums + outcomes.old }

    /** The outcomes of the new version, of all routers that were heard. */
    val allNew: OutcomeSums get() = peerOutcomes.values.fold(new) { sums, outcomes -> sums + outcomes.new }

    /** Returns whether a status may be written at [now]. */
    fun mayWrite(now: Timestamp): Boolean = !writing && now >= writeDueAt
}
