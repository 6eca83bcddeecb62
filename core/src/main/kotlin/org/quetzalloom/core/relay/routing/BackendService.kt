package org.quetzalloom.core.relay.routing

/**
 * The settings that all backend servers of a service share.
 *
 * @property maximumConnections the number of connections that a backend server accepts from all routers together.
 * @property coldMilliseconds how long a backend server is cold after its start.
 * @property coldRequestsPerSecond the number of requests a second that a cold backend server may get from all routers
 *   together; 0 for no limit.
 */
public data class BackendService(
    public val name: ServiceName,
    public val maximumConnections: Int,
    public val coldMilliseconds: Long = 0,
    public val coldRequestsPerSecond: Double = 0.0,
)
