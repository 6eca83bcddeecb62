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
internal object Homes {
    /** Returns the backend servers that the VM of [settings] may send to, each with the number of its homes. */
    fun of(configuration: Configuration, settings: RouterSettings): PersistentMap<BackendServerId, Int> {
        val vms = interleavedByZone(settings)
        val turn = vms.indexOf(settings.vm)
        return pools(configuration)
            .flatMap { pool -> pool.mapIndexedNotNull { place, server -> homeOrNull(server, place, turn, vms.size) } }
            .toMap()
            .toPersistentMap()
    }

    /** Returns the number of VMs, of [fleetSize], that may send to [server]. */
    fun count(server: BackendServer, fleetSize: Int): Int = server.coldCapacity.coerceIn(1, fleetSize)

    private fun homeOrNull(server: BackendServer, place: Int, turn: Int, fleetSize: Int): Pair<BackendServerId, Int>? {
        val homes = count(server, fleetSize)
        val distance = Math.floorMod(turn - place * homes, fleetSize)
        return if (distance < homes) server.id to homes else null
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
