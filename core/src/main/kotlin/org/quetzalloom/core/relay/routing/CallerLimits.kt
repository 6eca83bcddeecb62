package org.quetzalloom.core.relay.routing

/**
 * What a caller may send, and how long it may take.
 *
 * @property headerTimeoutMilliseconds the longest time from the first byte of a request to the end of its header.
 * @property idleTimeoutMilliseconds the longest time that a connection may be idle.
 */
public data class CallerLimits(
    public val maximumHeaderBytes: Int,
    public val maximumBodyBytes: Int,
    public val headerTimeoutMilliseconds: Long,
    public val idleTimeoutMilliseconds: Long,
)
