package org.quetzalloom.relay

/**
 * The memory that messages may take in a relay. The rest of the heap is for the state and for garbage.
 *
 * @property requestBytes the memory that the bodies of all requests in progress may take together. A request whose body
 *   would take more than a share of what is left is refused.
 * @property responseBytes the memory that all responses that are being read may take together. Above it, the largest of
 *   them fails.
 */
public data class MemoryLimits(
    public val requestBytes: Long = Runtime.getRuntime().maxMemory() / REQUEST_DIVISOR,
    public val responseBytes: Long = Runtime.getRuntime().maxMemory() / RESPONSE_DIVISOR,
) {
    private companion object {
        const val REQUEST_DIVISOR = 2
        const val RESPONSE_DIVISOR = 5
    }
}
