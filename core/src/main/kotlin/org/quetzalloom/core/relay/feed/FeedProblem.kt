package org.quetzalloom.core.relay.feed

/** Why a feed could not be read. */
public enum class FeedProblem {
    /** The records at the asked offset have been deleted; the newest of each key are still there. */
    EXPIRED,

    /** The store refused the call, or did not answer in time. */
    UNAVAILABLE,
}
