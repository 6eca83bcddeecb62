package org.quetzalloom.relay.reader

/** The calls that routers make to each other to read the store. */
internal object ReaderPaths {
    /**
     * Reads [FEED_NAME] from the offset [FROM] of the era [ERA] of the store, or its newest records without an offset;
     * waits up to [WAIT] milliseconds. Earlier versions neither send nor know the era.
     */
    const val FEED = "/feed"
    const val FEED_NAME = "name"
    const val FROM = "from"
    const val WAIT = "wait"
    const val ERA = "era"

    /** The header of an answer with records that tells the era of their offsets. Earlier versions don't send it. */
    const val ERA_HEADER = "X-Quetzalloom-Store-Era"

    /** Lists the members of the group as of [GENERATION] or later: a line with the VM and the address of each. */
    const val MEMBERS = "/members"
    const val GENERATION = "generation"
}
