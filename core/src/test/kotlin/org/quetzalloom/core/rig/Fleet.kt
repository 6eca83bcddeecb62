package org.quetzalloom.core.rig

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ServiceRoute
import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.configuration.VersionKind
import org.quetzalloom.core.configuration.Workspace
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.IdempotencyKey
import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.reducer.PartsReducer
import org.quetzalloom.core.request.CallerRequest
import org.quetzalloom.core.request.Target
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterLimits
import org.quetzalloom.core.router.RouterPolicies
import org.quetzalloom.core.router.RouterReducer
import org.quetzalloom.core.router.RouterSettings

/** A small fleet for the tests: three VMs in three availability zones, four engines, two services, one workspace. */
object Fleet {
    val workspace = WorkspaceId("bakery")
    val vms = listOf("vm-1", "vm-2", "vm-3").map { VmId(it) }
    val zones = listOf("zone-a", "zone-b", "zone-c").map { AvailabilityZoneId(it) }
    val old = VersionId("composer@1")
    val new = VersionId("composer@2")
    val forbidden = VersionId("composer@3")
    val ovens = VersionId("ovens@1")
    val limits = RouterLimits(sampleShare = 0.0, drainGraceMilliseconds = 500, snapshotIntervalMilliseconds = 3_000)

    private fun version(id: VersionId, cost: Long, kind: VersionKind = VersionKind.ENGINE) = Version(
        id = id,
        model = id.value.substringBefore('@'),
        kind = kind,
        costMicros = cost,
        expectedQuality = 0.97,
    )

    private fun server(name: String, zone: Int, versions: List<VersionId>) = BackendServer(
        id = BackendServerId(name),
        zone = zones[zone % zones.size],
        address = name,
        versions = versions.toPersistentSet(),
        capacity = 12,
        coldCapacity = 3,
        warmUpMilliseconds = 2_000,
    )

    private val servers = (0..3).map { server("engine-$it", it, listOf(old, new, forbidden)) } +
        (0..1).map { server("oven-$it", it, listOf(ovens)) }

    val configuration = Configuration(
        workspaces = persistentMapOf(workspace to Workspace(workspace, persistentSetOf(old, new, ovens), 0.9)),
        versions = listOf(
            version(old, cost = 5_000),
            version(new, cost = 9_000),
            version(forbidden, cost = 1_000),
            version(ovens, cost = 50, kind = VersionKind.SERVICE),
        ).associateBy { it.id }.toPersistentMap(),
        backendServers = servers.associateBy { it.id }.toPersistentMap(),
        zones = zones.toPersistentSet(),
        services = persistentListOf(ServiceRoute("/ovens/", "ovens", persistentSetOf("POST"))),
    )

    fun settings(vm: VmId, incarnation: String, policies: RouterPolicies = RouterPolicies()) = RouterSettings(
        vm = vm,
        incarnation = incarnation,
        fleet = vms.mapIndexed { place, each -> each to zones[place] }.toMap().toPersistentMap(),
        sessionSecret = "secret",
        limits = limits,
        policies = policies,
    )

    /** Returns a rig whose routers have applied the configuration of the fleet. */
    internal fun rig(
        seed: Long,
        parts: PersistentList<Part> = RouterReducer.parts,
        policies: RouterPolicies = RouterPolicies(),
    ): Rig {
        val rig = Rig(seed, vms, { vm, incarnation -> settings(vm, incarnation, policies) }, PartsReducer(parts))
        servers.forEach { rig.servers[it.id] = FakeServer(it, rig.schedule) }
        rig.change(base = 0, change = ConfigurationChange.Publish(configuration))
        rig.runFor(1_000)
        return rig
    }

    /** Returns a streamed completion, which may be repeated. */
    fun completion(
        body: String,
        model: String = "composer",
        session: String? = null,
        token: String? = null,
        timeoutMilliseconds: Long = 5_000,
    ) = CallerRequest(
        workspace = workspace,
        target = Target.Completion(model, maximumTokens = 64, streamed = true),
        timeoutMilliseconds = timeoutMilliseconds,
        body = body,
        session = session?.let { SessionId(it) },
        sessionToken = token,
    )

    /** Returns a call to a service that must not be repeated, with the idempotency key [key]. */
    fun command(key: String, timeoutMilliseconds: Long = 3_000) = CallerRequest(
        workspace = workspace,
        target = Target.ServiceCall("POST", "/ovens/start"),
        timeoutMilliseconds = timeoutMilliseconds,
        body = "start $key",
        key = IdempotencyKey(key),
    )
}
