package org.quetzalloom.core.relay.routing

/**
 * Limits on the size and the timing of callers' requests.
 *
 * @property maximumHeaderBytes the maximum size of a request's header.
 * @property maximumBodyBytes the maximum size of a request's body.
 * @property headerTimeoutMilliseconds the maximum time from the first byte of a request to the end of its header.
 * @property idleTimeoutMilliseconds the maximum time that a connection may be idle between requests, and that a body
 *   may take to arrive.
 */
public data class CallerLimits(
    public val maximumHeaderBytes: Int,
    public val maximumBodyBytes: Int,
    public val headerTimeoutMilliseconds: Long,
    public val idleTimeoutMilliseconds: Long,
)
