package org.quetzalloom.core.relay.feed

/** Why a feed could not be read. */
public enum class FeedProblem {
    /** The records at the requested offset have been deleted; the newest record of each key can still be read. */
    EXPIRED,

    /** The store refused the call, or did not answer in time. */
    UNAVAILABLE,
}
