package org.quetzalloom.core.backend

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.BackendServerId

/**
 * The slice of [BackendsPart].
 *
 * @property revision the configuration revision that [subset] belongs to.
 * @property homes the backend servers that this VM may send to, each with the number of VMs that may.
 * @property health what is known of each of them.
 */
internal data class BackendsState(
    val revision: Long = 0,
    val subset: PersistentMap<BackendServerId, Int> = persistentMapOf(),
    val health: PersistentMap<BackendServerId, ServerHealth> = persistentMapOf(),
) {
    fun healthOf(server: BackendServerId): ServerHealth = health[server] ?: ServerHealth()

    fun withHealth(server: BackendServerId, change: (ServerHealth) -> ServerHealth): BackendsState =
        copy(health = health.put(server, change(healthOf(server))))
}
