package org.quetzalloom.core.backend

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.router.RouterSettings

/**
 * Deterministic subsetting: assigns to each VM the backend servers that it may send to.
 *
 * A backend server is assigned to at most as many VMs as the requests that it can run when cold, so that each of them
 * may always have one request in flight. Backend servers of the same versions are assigned to the VMs round-robin,
 * which spreads both evenly.
 */
internal object DeterministicSubset {
    /**
     * Returns the backend servers that the VM of [settings] may send to, each with the number of VMs that share it.
     *
     * Every VM computes the same assignment from the same configuration and fleet.
     */
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

    /** Returns the number of VMs that may send to [server]: its cold capacity, within 1..[fleetSize]. */
    fun vmCountOf(server: BackendServer, fleetSize: Int): Int = server.coldCapacity.coerceIn(1, fleetSize)

    /** Returns [server] and the number of VMs that share it, or `null` if the VM at [vmIndex] is not one of them. */
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

    /** Returns the backend servers grouped by the versions that they serve, ordered by id. */
    private fun pools(configuration: Configuration): Collection<List<BackendServer>> =
        configuration.backendServers.values.sortedBy { it.id }.groupBy { it.versions.sorted() }.values

    /** Returns all VMs ordered so that neighbours are in different availability zones as far as possible. */
    private fun interleavedByZone(settings: RouterSettings): List<VmId> {
        val byZone = settings.fleet.entries.groupBy({ it.value }, { it.key })
        val ranked = byZone.entries.sortedBy { it.key }.flatMap { (zone, vms) ->
            vms.sorted().mapIndexed { rank, vm -> Triple(rank, zone, vm) }
        }
        return ranked.sortedWith(compareBy({ it.first }, { it.second })).map { it.third }
    }
}
