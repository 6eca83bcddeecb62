package org.quetzalloom.core.selection

import org.quetzalloom.core.configuration.Version

/** Decides which version a request runs on. */
public fun interface VersionChoice {
    /**
     * Returns one of [options].
     *
     * @param options the versions allowed; not empty.
     * @param qualityTarget the share of answers that must be good.
     * @param seed a number that differs between requests and decides what is left to chance.
     */
    public fun choose(options: List<VersionOption>, qualityTarget: Double, seed: Long): Version
}
