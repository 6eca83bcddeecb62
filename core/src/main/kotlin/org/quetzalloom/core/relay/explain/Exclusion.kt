package org.quetzalloom.core.relay.explain

/** Why a backend server would not get a request now. */
public enum class Exclusion {
    /** Its entry says that it shuts down. */
    DRAINING,

    /** It has said in a response that it shuts down. */
    LEAVING,

    /** Its entry was removed, or another server answers at its address. */
    REMOVED,

    /** It refused a request or failed lately. */
    SUSPENDED,

    /** It said that it wants no requests for a time that has not passed. */
    CLOSED,

    /** Its availability zone is evacuated. */
    EVACUATED,

    /** It runs another version than the one chosen for the request. */
    OTHER_VERSION,

    /** This router's share of its connections is in use. */
    NO_CONNECTION,

    /** It is cold, and this router's share of the requests that it bears is used up. */
    COLD,
}
