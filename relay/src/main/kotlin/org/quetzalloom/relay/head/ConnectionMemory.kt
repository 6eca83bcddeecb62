package org.quetzalloom.relay.head

/**
 * Counts the memory of one connection's heads, trailers and unread bytes in that of all messages.
 *
 * A connection may have a share of the memory that is left, so that one which has much is refused before others.
 */
internal class ConnectionMemory(private val memory: MessageMemory) : HeadMemory {
    private var heldBytes = 0L
    private var bufferBytes = 0

    init {
        change(CONNECTION_BYTES)
    }

    override fun reserve(bytes: Int) {
        if (!memory.mayHold(heldBytes + bytes)) {
            memory.countRefusedHead()
            throw HeadMemoryException()
        }
        change(bytes)
    }

    override fun release(bytes: Int): Unit = change(-bytes)

    /** Counts that bytes which have not been decoded take [bytes]. Returns whether there is room for them. */
    fun countBuffer(bytes: Int): Boolean {
        val more = bytes - bufferBytes
        bufferBytes = bytes
        change(more)
        return more <= 0 || memory.mayHold(heldBytes)
    }

    /** Ends the count of the connection itself, which has been closed. Its heads are released with their requests. */
    fun close(): Unit = change(-CONNECTION_BYTES)

    private fun change(bytes: Int) {
        heldBytes += bytes
        memory.change(bytes)
    }

    companion object {
        /** About what the objects of a connection take. */
        const val CONNECTION_BYTES = 8_192
    }
}
