package org.quetzalloom.core.selection

import org.quetzalloom.core.configuration.Version

/** The policy that chooses the version a request runs on. */
public fun interface VersionChoice {
    /**
     * Returns the version of one of [options].
     *
     * @param options the versions that the request may run on; not empty.
     * @param qualityTarget the share of answers that must be good, 0.0 to 1.0.
     * @param seed a pseudo-random number for randomized choices, the same for all requests of a session.
     */
    public fun choose(options: List<VersionOption>, qualityTarget: Double, seed: Long): Version
}
