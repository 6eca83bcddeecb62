package org.quetzalloom.core.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.WorkspaceId

/**
 * Everything that operators decide, at one revision.
 *
 * @property revision the number of accepted changes that led here.
 * @property zones every availability zone.
 * @property zonesOut the availability zones that are out of service.
 * @property rollouts the roll-outs under way, by the model they concern.
 */
public data class Configuration(
    public val revision: Long = 0,
    public val workspaces: PersistentMap<WorkspaceId, Workspace> = persistentMapOf(),
    public val versions: PersistentMap<VersionId, Version> = persistentMapOf(),
    public val backendServers: PersistentMap<BackendServerId, BackendServer> = persistentMapOf(),
    public val zones: PersistentSet<AvailabilityZoneId> = persistentSetOf(),
    public val zonesOutOfService: PersistentSet<AvailabilityZoneId> = persistentSetOf(),
    public val services: PersistentList<ServiceRoute> = persistentListOf(),
    public val rollouts: PersistentMap<String, Rollout> = persistentMapOf(),
) {
    /** Returns the version named [id] if it may receive new work, or `null`. */
    public fun activeVersionOrNull(id: VersionId): Version? = versions[id]?.takeUnless { it.withdrawn }

    /** Returns the service route with the longest prefix of [path], or `null`. */
    public fun routeOrNull(path: String): ServiceRoute? =
        services.filter { path.startsWith(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }

    /** Returns whether [server] may receive new work as far as operators have said. */
    public fun isInService(server: BackendServer): Boolean = !server.leaving && server.zone !in zonesOutOfService
}
