package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.rollout.RolloutOrder
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.relay.routing.RoutingTable
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.server.ServerListing

/** One record of a feed. */
public sealed interface FeedEntry {
    /** A configuration, whole. */
    public data class Configuration(public val table: RoutingTable) : FeedEntry

    /** Whether the servers of an availability zone get nothing. */
    public data class Evacuation(public val zone: AvailabilityZoneId, public val active: Boolean) : FeedEntry

    /** The traffic of a service is to move to a new version. */
    public data class Rollout(public val order: RolloutOrder) : FeedEntry

    /** The order of a roll-out has been taken back. */
    public data class RolloutRemoved(public val service: ServiceName) : FeedEntry

    /** How far the roll-out of [service] to [version] is. */
    public data class RolloutStatus(
        public val service: ServiceName,
        public val version: String,
        public val phase: RolloutPhase,
    ) : FeedEntry

    /** The entry of a backend server. */
    public data class Server(public val listing: ServerListing) : FeedEntry

    /** The entry of a backend server has been removed. */
    public data class ServerRemoved(public val id: BackendServerId) : FeedEntry

    /** A record that could not be understood; it changes nothing. */
    public data class Unreadable(public val key: String, public val problem: String) : FeedEntry
}
