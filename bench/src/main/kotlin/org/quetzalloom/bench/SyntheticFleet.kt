package org.quetzalloom.bench

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ServiceRoute
import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.configuration.VersionKind
import org.quetzalloom.core.configuration.Workspace
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.router.RouterSettings

/**
 * A generated fleet of [size] with its configuration. VMs and backend servers are spread evenly over the zones, and
 * versions over the backend servers.
 */
internal class SyntheticFleet(private val size: FleetSize) {
    private val zones = (1..ZONES).map { AvailabilityZoneId("zone-$it") }
    private val versionIds = (1..size.versions).map { VersionId("model-${(it + 1) / 2}@$it") }

    /** The VM that is simulated and measured. */
    val vm = VmId("vm-1")

    /** The availability zone of each VM. */
    val zonesOfVms: PersistentMap<VmId, AvailabilityZoneId> =
        (1..size.vms).associate { VmId("vm-$it") to zones[it % ZONES] }.toPersistentMap()

    /** A workspace of the configuration. */
    val workspace = WorkspaceId("workspace-1")

    fun settings() = RouterSettings(vm = vm, incarnation = "bench", fleet = zonesOfVms, sessionSecret = "secret")

    fun configuration() = Configuration(
        revision = 1,
        workspaces = (1..size.workspaces).map { WorkspaceId("workspace-$it") }
            .associateWith { Workspace(it, versionIds.toPersistentSet(), QUALITY_TARGET) }
            .toPersistentMap(),
        versions = versionIds.mapIndexed { index, id -> version(id, index) }.associateBy { it.id }.toPersistentMap(),
        backendServers = (1..size.replicas).map { server(it) }.associateBy { it.id }.toPersistentMap(),
        zones = zones.toPersistentSet(),
        services = persistentListOf<ServiceRoute>(),
    )

    private fun version(id: VersionId, index: Int) = Version(
        id = id,
        model = id.value.substringBefore('@'),
        kind = VersionKind.ENGINE,
        costMicros = 1_000L + index,
        expectedQuality = EXPECTED_QUALITY,
    )

    /** Returns a backend server that serves two versions of one model, as during a roll-out. */
    private fun server(number: Int): BackendServer {
        val pair = 2 * (number % (size.versions / 2))
        return BackendServer(
            id = BackendServerId("replica-$number"),
            zone = zones[number % ZONES],
            address = "10.0.0.1:9000",
            versions = versionIds.subList(pair, pair + 2).toPersistentSet(),
            capacity = CAPACITY,
            coldCapacity = COLD_CAPACITY,
            warmUpMilliseconds = WARM_UP_MILLISECONDS,
        )
    }

    private companion object {
        const val ZONES = 17
        const val QUALITY_TARGET = 0.9
        const val EXPECTED_QUALITY = 0.95
        const val CAPACITY = 64
        const val COLD_CAPACITY = 8
        const val WARM_UP_MILLISECONDS = 60_000L
    }
}
