package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.rollout.RolloutOrder
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.relay.routing.RoutingTable
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.server.ServerListing

/** A decoded record of a feed. */
public sealed interface FeedEntry {
    /** A complete configuration. */
    public data class Configuration(public val table: RoutingTable) : FeedEntry

    /** The evacuation of an availability zone, whose servers get no requests while it is [active]. */
    public data class Evacuation(public val zone: AvailabilityZoneId, public val active: Boolean) : FeedEntry

    /** An order to move the traffic of a service to a new version. */
    public data class Rollout(public val order: RolloutOrder) : FeedEntry

    /** The removal of the roll-out order of [service]. */
    public data class RolloutRemoved(public val service: ServiceName) : FeedEntry

    /** The phase of the roll-out of [service] to [version]. */
    public data class RolloutStatus(
        public val service: ServiceName,
        public val version: String,
        public val phase: RolloutPhase,
    ) : FeedEntry

    /** A backend server's entry in the list of backend servers. */
    public data class Server(public val listing: ServerListing) : FeedEntry

    /** The removal of the entry of the backend server [id]. */
    public data class ServerRemoved(public val id: BackendServerId) : FeedEntry

    /**
     * A record that could not be decoded because of [problem]. In the list of servers it takes the place of the entry
     * before, and names no server; elsewhere it is skipped.
     */
    public data class Unreadable(public val key: String, public val problem: String) : FeedEntry
}
