package org.quetzalloom.core.backend

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.BackendServerId

/**
 * The state owned by [BackendsPart].
 *
 * @property revision the configuration revision that [subset] was computed from.
 * @property subset the backend servers that this VM may send to, each with the number of VMs that share it.
 * @property health what this VM knows about each backend server that it has dealt with.
 */
internal data class BackendsState(
    val revision: Long = 0,
    val subset: PersistentMap<BackendServerId, Int> = persistentMapOf(),
    val health: PersistentMap<BackendServerId, ServerHealth> = persistentMapOf(),
) {
    /** Returns the health of [server], or the initial health if nothing is known about it. */
    fun healthOf(server: BackendServerId): ServerHealth = health[server] ?: ServerHealth()

    /** Returns the state with [change] applied to the health of [server]. */
    fun withHealth(server: BackendServerId, change: (ServerHealth) -> ServerHealth): BackendsState =
        copy(health = health.put(server, change(healthOf(server))))
}
