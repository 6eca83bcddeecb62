package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.routing.ServiceName

/**
 * What a backend server says of itself in the list of backend servers.
 *
 * @property address the `host:port` of its listener.
 * @property version the version of its software.
 * @property slots the requests that it works on at once.
 * @property draining whether it has said that it leaves.
 * @property coldMilliseconds how much longer it is cold, as of when it wrote the entry.
 * @property startedAt identifies one start of it: the milliseconds since the Unix epoch by its own clock.
 * @property sequence rises with each entry of one start.
 */
public data class ServerListing(
    public val id: BackendServerId,
    public val service: ServiceName,
    public val address: String,
    public val zone: AvailabilityZoneId,
    public val version: String,
    public val slots: Int,
    public val draining: Boolean,
    public val coldMilliseconds: Long,
    public val startedAt: Long,
    public val sequence: Long,
)
