package org.quetzalloom.core.relay.rollout

/** How far a roll-out is. */
public enum class RolloutPhase {
    /** Both versions get traffic. */
    IN_PROGRESS,

    /** The new version gets all traffic; the old one is stopped. */
    COMPLETED,

    /** The old version gets all traffic again. */
    REVERTED,
}
