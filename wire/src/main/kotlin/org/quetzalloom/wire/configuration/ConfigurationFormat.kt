package org.quetzalloom.wire.configuration

import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.Rollout
import org.quetzalloom.core.configuration.ServiceRoute
import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.configuration.Workspace

/**
 * Returns the serialized form of this configuration. Equal configurations give equal documents: services keep their
 * order, roll-outs are sorted by the new version, and everything else is sorted by identifier.
 */
public fun Configuration.toDocument(): ConfigurationDocument = ConfigurationDocument(
    revision = revision,
    zones = zones.sorted().map { ZoneDocument(id = it.value, inService = it !in zonesOutOfService) },
    versions = versions.values.sortedBy { it.id }.map { it.toDocument() },
    workspaces = workspaces.values.sortedBy { it.id }.map { it.toDocument() },
    backendServers = backendServers.values.sortedBy { it.id }.map { it.toDocument() },
    services = services.map { it.toDocument() },
    rollouts = rollouts.values.sortedBy { it.to }.map { it.toDocument() },
)

private fun Version.toDocument(): VersionDocument = VersionDocument(
    id = id.value,
    model = model,
    kind = kind.name.lowercase(),
    costMicros = costMicros,
    expectedQuality = expectedQuality,
    withdrawn = withdrawn,
)

private fun Workspace.toDocument(): WorkspaceDocument = WorkspaceDocument(
    id = id.value,
    allowed = allowed.sorted().map { it.value },
    qualityTarget = qualityTarget,
)

private fun BackendServer.toDocument(): BackendServerDocument = BackendServerDocument(
    id = id.value,
    zone = zone.value,
    address = address,
    versions = versions.sorted().map { it.value },
    capacity = capacity,
    coldCapacity = coldCapacity,
    warmUpMilliseconds = warmUpMilliseconds,
    checksFencing = checksFencing,
    leaving = leaving,
)

private fun ServiceRoute.toDocument(): ServiceDocument = ServiceDocument(
    pathPrefix = pathPrefix,
    model = model,
    nonRepeatableMethods = nonRepeatableMethods.sorted(),
)

/** Returns the serialized form of this roll-out. */
public fun Rollout.toDocument(): RolloutDocument = RolloutDocument(
    from = from.value,
    to = to.value,
    sharePermille = sharePermille,
    paused = paused,
)
