package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.buffer.UnpooledByteBufAllocator
import io.netty.buffer.UnpooledHeapByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.quetzalloom.relay.head.CompactHeaders
import org.quetzalloom.relay.head.MessageMemory

/** Bounds the memory that all requests in progress take together: their connections, heads and bodies. */
internal class RequestMemory(limitBytes: Long) : MessageMemory(limitBytes) {
    /** Returns a new buffer for the body of [head]. The memory of both is counted until it is released. */
    fun newBody(head: HttpRequest): ByteBuf = Body(this, head)

    private class Body(private val memory: MessageMemory?, private val head: HttpRequest) :
        UnpooledHeapByteBuf(UnpooledByteBufAllocator.DEFAULT, 0, Int.MAX_VALUE) {
        // The constructor of the base class allocates the array of no bytes, before `memory` is set.
        override fun allocateArray(initialCapacity: Int): ByteArray =
            super.allocateArray(initialCapacity).also { memory?.change(it.size) }

        override fun freeArray(array: ByteArray) {
            super.freeArray(array)
            memory?.change(-array.size)
        }

        override fun deallocate() {
            super.deallocate()
            (head.headers() as? CompactHeaders)?.release()
        }
    }
}
