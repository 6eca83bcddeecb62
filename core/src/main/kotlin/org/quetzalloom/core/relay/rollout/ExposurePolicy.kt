package org.quetzalloom.core.relay.rollout

/**
 * Decides how much of a service's traffic a new version gets, and when it is bad.
 *
 * Times are shares of the roll-out's time, from 0 at its order to 1 at its end. A limit is the largest share of all
 * requests in that time that a version may get which turns out to be bad.
 */
public interface ExposurePolicy {
    /** Returns the share of requests for the new version, from 0 to 1, at [elapsed] under [limit]. */
    public fun share(elapsed: Double, limit: Double): Double

    /** Returns whether a session may move from the old version to the new one at [elapsed]. */
    public fun mayMoveSessions(elapsed: Double): Boolean

    /** Returns whether a roll-out may be completed at [elapsed]. */
    public fun mayComplete(elapsed: Double): Boolean

    /** Returns whether the outcomes of the [new] version are bad, against those of the [old] one. */
    public fun isBad(old: OutcomeSums, new: OutcomeSums): Boolean
}
