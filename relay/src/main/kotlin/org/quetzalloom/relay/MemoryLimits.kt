package org.quetzalloom.relay

/**
 * The memory that messages may take in a relay. The rest of the heap is for the state and for garbage.
 *
 * @property requestBytes the memory that callers may take together: their connections, their requests in progress and
 *   the responses that they have not read. A request that would take more than a share of what is left is refused.
 * @property responseBytes the memory that all responses that are being read may take together. Above it, the largest of
 *   them fails.
 * @property unreadBytes the part of [requestBytes] that responses may take which their callers have not read. Above it,
 *   the callers that have read nothing for the longest time are dropped.
 */
public data class MemoryLimits(
    public val requestBytes: Long = Runtime.getRuntime().maxMemory() / REQUEST_DIVISOR,
    public val responseBytes: Long = Runtime.getRuntime().maxMemory() / RESPONSE_DIVISOR,
    public val unreadBytes: Long = requestBytes / UNREAD_DIVISOR,
) {
    private companion object {
        const val REQUEST_DIVISOR = 2
        const val RESPONSE_DIVISOR = 5
        const val UNREAD_DIVISOR = 4
    }
}
