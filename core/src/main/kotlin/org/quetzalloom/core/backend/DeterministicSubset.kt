package org.quetzalloom.core.backend

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.router.RouterSettings

/**
 * The deterministic subset: which VMs may send to which backend server.
 *
 * A backend server has no more home VMs than requests that it bears when cold, so that each home may always
 * have one request under way. Backend servers of the same versions take the VMs in turn, which spreads both evenly.
 */
internal object DeterministicSubset {
    /** Returns the backend servers that the VM of [settings] may send to, each with the number of its homes. */
    fun of(configuration: Configuration, settings: RouterSettings): PersistentMap<BackendServerId, Int> {
        val vms = interleavedByZone(settings)
        val vmIndex = vms.indexOf(settings.vm)
        return pools(configuration)
            .flatMap { pool ->
                pool.mapIndexedNotNull { serverIndex, server ->
                    assignmentOrNull(server, serverIndex, vmIndex, vms.size)
                }
            }
            .toMap()
            .toPersistentMap()
    }

    /** Returns the number of VMs, of [fleetSize], that may send to [server]. */
    fun vmCountOf(server: BackendServer, fleetSize: Int): Int = server.coldCapacity.coerceIn(1, fleetSize)

    private fun assignmentOrNull(
        server: BackendServer,
        serverIndex: Int,
        vmIndex: Int,
        fleetSize: Int,
    ): Pair<BackendServerId, Int>? {
        val vmCount = vmCountOf(server, fleetSize)
        val distance = Math.floorMod(vmIndex - serverIndex * vmCount, fleetSize)
        return if (distance < vmCount) server.id to vmCount else null
    }

    /** Backend servers that serve the same versions, in order. */
    private fun pools(configuration: Configuration): Collection<List<BackendServer>> =
        configuration.backendServers.values.sortedBy { it.id }.groupBy { it.versions.sorted() }.values

    /** All VMs, so that neighbours are in different availability zones as far as can be. */
    private fun interleavedByZone(settings: RouterSettings): List<VmId> {
        val byZone = settings.fleet.entries.groupBy({ it.value }, { it.key })
        val ranked = byZone.entries.sortedBy { it.key }.flatMap { (zone, vms) ->
            vms.sorted().mapIndexed { rank, vm -> Triple(rank, zone, vm) }
        }
        return ranked.sortedWith(compareBy({ it.first }, { it.second })).map { it.third }
    }
}
