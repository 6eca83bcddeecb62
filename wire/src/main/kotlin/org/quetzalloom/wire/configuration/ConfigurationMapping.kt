package org.quetzalloom.wire.configuration

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.Rollout
import org.quetzalloom.core.configuration.ServiceRoute
import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.configuration.VersionKind
import org.quetzalloom.core.configuration.Workspace
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.identity.WorkspaceId

/**
 * Returns the configuration that this document describes. Of entries with the same identifier the last one counts.
 *
 * References between the parts are not checked; use [org.quetzalloom.core.configuration.problems] for that. A roll-out
 * is keyed by the model of its new version, or by the name of that version if it does not exist.
 *
 * @throws IllegalArgumentException if a name is not a valid identifier or a kind of version does not exist.
 */
public fun ConfigurationDocument.toConfiguration(): Configuration {
    val versionsById = versions.map { it.toVersion() }.associateBy { it.id }
    return Configuration(
        revision = revision,
        workspaces = workspaces.map { it.toWorkspace() }.associateBy { it.id }.toPersistentMap(),
        versions = versionsById.toPersistentMap(),
        backendServers = backendServers.map { it.toBackendServer() }.associateBy { it.id }.toPersistentMap(),
        zones = zones.map { AvailabilityZoneId(it.id) }.toPersistentSet(),
        zonesOutOfService = zones.filterNot { it.inService }.map { AvailabilityZoneId(it.id) }.toPersistentSet(),
        services = services.map { it.toServiceRoute() }.toPersistentList(),
        rollouts = rollouts.map { it.toRollout() }
            .associateBy { versionsById[it.to]?.model ?: it.to.value }
            .toPersistentMap(),
    )
}

private fun VersionDocument.toVersion(): Version = Version(
    id = VersionId(id),
    model = model,
    kind = VersionKind.valueOf(kind.uppercase()),
    costMicros = costMicros,
    expectedQuality = expectedQuality,
    withdrawn = withdrawn,
)

private fun WorkspaceDocument.toWorkspace(): Workspace = Workspace(
    id = WorkspaceId(id),
    allowed = allowed.map { VersionId(it) }.toPersistentSet(),
    qualityTarget = qualityTarget,
)

private fun BackendServerDocument.toBackendServer(): BackendServer = BackendServer(
    id = BackendServerId(id),
    zone = AvailabilityZoneId(zone),
    address = address,
    versions = versions.map { VersionId(it) }.toPersistentSet(),
    capacity = capacity,
    coldCapacity = coldCapacity,
    warmUpMilliseconds = warmUpMilliseconds,
    checksFencing = checksFencing,
    leaving = leaving,
)

private fun ServiceDocument.toServiceRoute(): ServiceRoute = ServiceRoute(
    pathPrefix = pathPrefix,
    model = model,
    nonRepeatableMethods = nonRepeatableMethods.map { it.uppercase() }.toPersistentSet(),
)

/**
 * Returns the roll-out that this document describes.
 *
 * @throws IllegalArgumentException if the name of a version is not a valid identifier.
 */
public fun RolloutDocument.toRollout(): Rollout = Rollout(
    from = VersionId(from),
    to = VersionId(to),
    sharePermille = sharePermille,
    paused = paused,
)
