package org.quetzalloom.core.relay.rollout

/** The phase of a roll-out. */
public enum class RolloutPhase {
    /** The old and the new version get traffic. */
    IN_PROGRESS,

    /** The new version gets all traffic; the backend servers of the old version may be stopped. */
    COMPLETED,

    /** The old version gets all traffic again. */
    REVERTED,
}
