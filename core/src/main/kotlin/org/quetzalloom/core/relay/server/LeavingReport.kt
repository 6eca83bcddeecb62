package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.BackendServerId

/**
 * What a router tells the others about a backend server that shuts down.
 *
 * @property startedAt the start of the server's process, see [ServerListing.startedAt].
 * @property sequence the number of the entry in which the server announced it, or `null` if it did so in a response.
 */
public data class LeavingReport(
    public val server: BackendServerId,
    public val startedAt: Long,
    public val sequence: Long?,
)
