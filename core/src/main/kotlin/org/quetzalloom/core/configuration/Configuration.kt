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
 * The workspaces, versions, backend servers, services and roll-outs that operators have set, at one revision.
 *
 * @property revision the number of changes accepted up to and including this configuration.
 * @property zones every availability zone.
 * @property zonesOutOfService the availability zones whose backend servers receive no new requests.
 * @property rollouts the current roll-outs, by model.
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
    /** Returns the version [id], or `null` if it does not exist or is withdrawn. */
    public fun activeVersionOrNull(id: VersionId): Version? = versions[id]?.takeUnless { it.withdrawn }

    /** Returns the service route with the longest matching prefix of [path], or `null` if none matches. */
    public fun routeOrNull(path: String): ServiceRoute? =
        services.filter { path.startsWith(it.pathPrefix) }.maxByOrNull { it.pathPrefix.length }

    /** Returns whether [server] may receive new requests: neither it is leaving nor its zone is out of service. */
    public fun isInService(server: BackendServer): Boolean = !server.leaving && server.zone !in zonesOutOfService
}
