package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelOutboundHandlerAdapter
import io.netty.channel.ChannelPromise
import org.quetzalloom.relay.head.MessageMemory

/**
 * Counts what has been written to one caller and waits in this process, because the caller does not read it. Must be
 * the handler next to the socket.
 *
 * @param memory counts what callers take together. Unread bytes do not count against the share of one connection, so
 *   that a caller with a large response may send its next request.
 * @param callers tracks all callers with unread bytes.
 */
internal class UnreadBytes(
    private val memory: MessageMemory,
    private val callers: UnreadResponses,
) : ChannelOutboundHandlerAdapter() {
    private lateinit var channel: Channel
    private var progress = 0L
    private var dropped = false

    /** The memory that the unread bytes take; 0 if the socket has taken all. */
    var memoryBytes: Long = 0
        private set

    /** Whether one more response may be begun for this caller: all others have been taken, or memory is not scarce. */
    val mayGrow: Boolean get() = memoryBytes == 0L || !callers.isScarce

    /** Is called when the socket has taken all bytes. */
    var onAllTaken: () -> Unit = {}

    override fun handlerAdded(context: ChannelHandlerContext) {
        channel = context.channel()
    }

    override fun write(context: ChannelHandlerContext, message: Any, promise: ChannelPromise) {
        val bytes = ENTRY_BYTES + ((message as? ByteBuf)?.capacity() ?: 0)
        change(bytes)
        if (!dropped) callers.onWritten(this, bytes)
        context.write(message, promise).addListener { onTaken(it as ChannelFuture, bytes) }
    }

    override fun flush(context: ChannelHandlerContext) {
        context.flush()
        callers.refresh(this)
        callers.enforceLimit()
    }

    /** Returns whether the socket has taken a part of the first unread bytes since the last call. */
    fun hasProgressed(): Boolean {
        val current = channel.unsafe().outboundBuffer()?.currentProgress() ?: 0
        return (current != progress).also { progress = current }
    }

    /** Closes the connection and discards the unread bytes. */
    fun drop() {
        dropped = true
        channel.close()
    }

    private fun onTaken(written: ChannelFuture, bytes: Int) {
        change(-bytes)
        if (!dropped) callers.onTaken(this, bytes)
        if (memoryBytes == 0L && written.isSuccess) onAllTaken()
    }

    private fun change(bytes: Int) {
        memoryBytes += bytes
        memory.change(bytes)
    }

    private companion object {
        /** About what the objects of one written buffer take. */
        const val ENTRY_BYTES = 256
    }
}
