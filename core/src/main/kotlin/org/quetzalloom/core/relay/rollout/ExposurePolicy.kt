package org.quetzalloom.core.relay.rollout

/** Decides how much of a service's traffic a new version gets, and when it is bad. */
public interface ExposurePolicy {
    /** Returns the share of requests for the new version, from 0 to 1, after [elapsed] of the roll-out's time. */
    public fun share(elapsed: Double): Double

    /** Returns whether a session may move from the old version to the new one after [elapsed] of the time. */
    public fun mayMoveSessions(elapsed: Double): Boolean

    /** Returns whether a roll-out of which [elapsed] has passed may be completed. */
    public fun mayComplete(elapsed: Double): Boolean

    /** Returns whether the outcomes of the [new] version are bad, against those of the [old] one. */
    public fun isBad(old: OutcomeSums, new: OutcomeSums): Boolean
}
