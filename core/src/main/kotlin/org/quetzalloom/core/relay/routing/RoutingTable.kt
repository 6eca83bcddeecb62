package org.quetzalloom.core.relay.routing

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.WorkspaceId

/**
 * A complete configuration of the routers, as operators wrote it.
 *
 * @property version the number of the configuration, which rises with each change, in uneven steps.
 * @property limits the limits on callers' requests.
 * @property workspacePriorities the priorities of workspaces that have one of their own, which goes before that of the
 *   route; 0 is the most urgent.
 * @property workspacesByKey the workspace that each API key belongs to; `null` if requests need no key at all.
 */
public data class RoutingTable(
    public val version: Long,
    public val routes: PersistentList<Route> = persistentListOf(),
    public val services: PersistentMap<ServiceName, BackendService> = persistentMapOf(),
    public val limits: CallerLimits,
    public val workspacesByKey: PersistentMap<String, WorkspaceId>? = null,
    public val workspacePriorities: PersistentMap<WorkspaceId, Int> = persistentMapOf(),
) {
    private val routesByHost = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, sameHost) -> sameHost.sortedByDescending { it.pathPrefix.length } }

    /**
     * Returns the route of [host] with the longest prefix of [path], or `null` if there is none. The case of the host
     * does not matter.
     */
    public fun routeOrNull(host: String, path: String): Route? =
        routesByHost[host.lowercase()]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
