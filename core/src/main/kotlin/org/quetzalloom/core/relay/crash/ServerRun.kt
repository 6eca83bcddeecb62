package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.relay.server.ServerListing
import org.quetzalloom.core.router.stableHash

/**
 * Identifies one run of a backend server, from its start to its end.
 *
 * @property hash a hash of the server's id and of its start; all routers compute the same.
 */
@JvmInline
public value class ServerRun(public val hash: Int) {
    override fun toString(): String = hash.toString()

    internal companion object {
        fun of(listing: ServerListing): ServerRun =
            ServerRun(stableHash(listing.id.value, listing.startedAt).toInt())
    }
}
