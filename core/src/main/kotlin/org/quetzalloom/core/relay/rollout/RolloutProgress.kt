package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.time.Timestamp

/**
 * What this router knows of one roll-out.
 *
 * @property seenAt when the order was first read.
 * @property phase the phase in the store, or `null` while none is known.
 * @property old the outcomes of the versions before.
 * @property new the outcomes of the new version.
 * @property condemned whether the new version's outcomes here are bad.
 * @property writing whether a status is being written.
 * @property writeDueAt when the next status may be written.
 */
internal data class RolloutProgress(
    val order: RolloutOrder,
    val seenAt: Timestamp,
    val phase: RolloutPhase? = null,
    val old: OutcomeSums = OutcomeSums(),
    val new: OutcomeSums = OutcomeSums(),
    val condemned: Boolean = false,
    val writing: Boolean = false,
    val writeDueAt: Timestamp = Timestamp.EPOCH,
) {
    /** Whether it is neither completed nor reverted. */
    val open: Boolean get() = phase == null || phase == RolloutPhase.IN_PROGRESS

    /** Returns whether a status may be written at [now]. */
    fun mayWrite(now: Timestamp): Boolean = !writing && now >= writeDueAt
}
