package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.buffer.UnpooledHeapByteBuf

/**
 * Bounds the memory that the bodies of all requests in progress take together. Confined to the event loop's thread.
 *
 * A body may have a share of the memory that is left. So when memory becomes scarce, large bodies are refused first,
 * and small ones still find room.
 *
 * @param limitBytes the memory that the bodies may take.
 */
internal class RequestMemory(private val limitBytes: Long) {
    private var usedBytes = 0L

    /** Returns whether a body may have [bytes] bytes. */
    fun mayHold(bytes: Long): Boolean = bytes <= (limitBytes - usedBytes) / FREE_SHARE_DIVISOR

    /** Returns a new buffer for a body, whose memory is counted until it is released. */
    fun newBody(): ByteBuf = Body(this)

    private class Body(private val memory: RequestMemory?) :
        UnpooledHeapByteBuf(UnpooledByteBufAllocator.DEFAULT, 0, Int.MAX_VALUE) {
        // The constructor of the base class allocates the array of no bytes, before `memory` is set.
        override fun allocateArray(initialCapacity: Int): ByteArray =
            super.allocateArray(initialCapacity).also { memory?.change(it.size) }

        override fun freeArray(array: ByteArray) {
            super.freeArray(array)
            memory?.change(-array.size)
        }
    }

    private fun change(bytes: Int) {
        usedBytes += bytes
    }

    private companion object {
        /** Leaves room for the largest body that callers may send in a heap of 80 MB, and for several beside it. */
        const val FREE_SHARE_DIVISOR = 4
    }
}
