package org.quetzalloom.core.relay.rollout

/**
 * Decides how much of a service's traffic a new version gets during its roll-out, and whether the version is bad.
 *
 * Times are given as the elapsed share of the roll-out's duration, from 0 at its order to 1 at its end. The limit is
 * the maximum share of all requests in that duration that a version that turns out to be bad may get.
 */
public interface ExposurePolicy {
    /** Returns the share of requests that the new version gets at [elapsed], from 0 to 1, so that [limit] holds. */
    public fun share(elapsed: Double, limit: Double): Double

    /** Returns whether a session may move from the old version to the new one at [elapsed]. */
    public fun mayMoveSessions(elapsed: Double): Boolean

    /**
     * Returns whether the new version has got many more requests than its first share, by the number of responses of
     * the [old] versions and of the [new] one.
     */
    public fun isExcessive(old: Int, new: Int, limit: Double): Boolean

    /** Returns whether a roll-out may be completed at [elapsed]. */
    public fun mayComplete(elapsed: Double): Boolean

    /** Returns whether the [new] version is bad, judged by its outcomes compared with those of the [old] versions. */
    public fun isBad(old: OutcomeSums, new: OutcomeSums): Boolean
}
