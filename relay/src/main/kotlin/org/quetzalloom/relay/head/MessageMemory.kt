package org.quetzalloom.relay.head

/**
 * Bounds the memory that the messages which are being received take together. Confined to the event loop's thread.
 *
 * A message may have a share of the memory that is left. So when memory becomes scarce, large ones are refused first,
 * and small ones still find room.
 *
 * @param limitBytes the memory that the messages may take.
 */
internal open class MessageMemory(val limitBytes: Long) {
    /** The memory that the messages take. */
    var usedBytes = 0L
        private set

    /** The number of heads and trailers that found no room. */
    var refusedHeads = 0L
        private set

    /** Returns whether a message may have [bytes] bytes. */
    fun mayHold(bytes: Long): Boolean = bytes <= (limitBytes - usedBytes) / FREE_SHARE_DIVISOR

    /** Counts that messages take [bytes] more, or less if negative. */
    fun change(bytes: Int) {
        usedBytes += bytes
    }

    /** Counts a head or trailers that found no room. */
    fun countRefusedHead() {
        refusedHeads++
    }

    private companion object {
        /** Leaves room for the largest body that callers may send in a heap of 80 MB, and for several beside it. */
        const val FREE_SHARE_DIVISOR = 4
    }
}
