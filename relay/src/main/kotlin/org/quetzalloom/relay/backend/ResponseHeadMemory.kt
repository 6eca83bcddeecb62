package org.quetzalloom.relay.backend

import org.quetzalloom.relay.head.HeadMemory

/**
 * Counts the heads and trailers that one connection to a backend server receives among all responses. If these take too
 * much, the largest fails, which may be this one.
 */
internal class ResponseHeadMemory(private val memory: ResponseMemory) : HeadMemory {
    /** The memory that the heads take. */
    var heldBytes = 0
        private set

    override fun reserve(bytes: Int) {
        heldBytes += bytes
        memory.change(bytes)
        memory.enforceLimit()
    }

    override fun release(bytes: Int) {
        heldBytes -= bytes
        memory.change(-bytes)
    }
}
