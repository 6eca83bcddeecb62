package org.quetzalloom.relay.head

/** What one head takes of [memory]. */
internal class HeadReservation(private val memory: HeadMemory) {
    private var reservedBytes = 0

    /** Counts [bytes] more. Throws a [HeadMemoryException] if there is no room for them. */
    fun reserve(bytes: Int) {
        memory.reserve(bytes)
        reservedBytes += bytes
    }

    /** Ends the count of all that has been reserved. */
    fun release() {
        memory.release(reservedBytes)
        reservedBytes = 0
    }
}
