package org.quetzalloom.core.relay.routing

/**
 * What a caller may send, and how long it may take.
 *
 * @property headerMilliseconds the longest time from the first byte of a request to the end of its header.
 * @property idleMilliseconds the longest time that a connection may be idle.
 */
public data class CallerLimits(
    public val maximumHeaderBytes: Int,
    public val maximumBodyBytes: Int,
    public val headerMilliseconds: Long,
    public val idleMilliseconds: Long,
)
