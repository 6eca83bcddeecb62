package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.routing.ServiceName

/**
 * A backend server's own entry in the list of backend servers.
 *
 * @property address the `host:port` on which the server listens.
 * @property version the version of the server's software.
 * @property slots the number of requests that the server works on at once.
 * @property draining whether the server has announced that it shuts down.
 * @property coldMilliseconds the rest of the server's warm-up at the time it wrote the entry; 0 if it is warm.
 * @property startedAt the start of the server's process, in milliseconds since the Unix epoch by the server's own
 *   clock; distinguishes one run from the next. 0 if the server does not say.
 * @property sequence the number of the entry, which rises within one run of the server.
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
) {
    /**
     * Returns whether the server wrote this entry before [other], which it wrote too. The runs of a server that does
     * not say when it started cannot be told apart.
     */
    internal fun isOlderThan(other: ServerListing): Boolean =
        startedAt < other.startedAt || startedAt == other.startedAt && startedAt != 0L && sequence < other.sequence
}
