package org.quetzalloom.core.relay.routing

/**
 * What holds for all backend servers of a service.
 *
 * @property maximumConnections the connections that one backend server accepts from all routers together.
 * @property coldMilliseconds how long a backend server is cold after it has started.
 * @property coldRequestsPerSecond the requests that a cold backend server bears in a second, from all routers together;
 *   0 if it need not be spared.
 */
public data class BackendService(
    public val name: ServiceName,
    public val maximumConnections: Int,
    public val coldMilliseconds: Long = 0,
    public val coldRequestsPerSecond: Double = 0.0,
)
