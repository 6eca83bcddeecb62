package org.quetzalloom.relay.reader

/** The calls that routers make to each other to read the store. */
internal object ReaderPaths {
    /** Reads [FEED_NAME] from the offset [FROM], or its newest records without it; waits up to [WAIT] milliseconds. */
    const val FEED = "/feed"
    const val FEED_NAME = "name"
    const val FROM = "from"
    const val WAIT = "wait"

    /** Lists the members of the group as of [GENERATION] or later: a line with the VM and the address of each. */
    const val MEMBERS = "/members"
    const val GENERATION = "generation"
}
