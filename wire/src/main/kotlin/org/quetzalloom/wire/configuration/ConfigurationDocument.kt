package org.quetzalloom.wire.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * The JSON form of [org.quetzalloom.core.configuration.Configuration].
 *
 * All but [revision] is also the form of the configuration in TOML files; see
 * [org.quetzalloom.wire.site.SiteDocument].
 */
@Serializable
public data class ConfigurationDocument(
    public val revision: Long = 0,
    public val zones: List<ZoneDocument> = emptyList(),
    public val versions: List<VersionDocument> = emptyList(),
    public val workspaces: List<WorkspaceDocument> = emptyList(),
    @SerialName("backend_servers")
    public val backendServers: List<BackendServerDocument> = emptyList(),
    public val services: List<ServiceDocument> = emptyList(),
    public val rollouts: List<RolloutDocument> = emptyList(),
)

/**
 * An availability zone.
 *
 * @property inService whether backend servers in this availability zone receive new work.
 */
@Serializable
public data class ZoneDocument(
    public val id: String,
    @SerialName("in_service")
    public val inService: Boolean = true,
)

/**
 * The serialized form of [org.quetzalloom.core.configuration.Version].
 *
 * @property kind `engine` or `service`.
 * @property costMicros the price of 1,000 generated tokens (engine) or 1,000 calls (service), in millionths of the
 *   currency unit.
 */
@Serializable
public data class VersionDocument(
    public val id: String,
    public val model: String,
    public val kind: String,
    @SerialName("cost_micros")
    public val costMicros: Long,
    @SerialName("expected_quality")
    public val expectedQuality: Double = 1.0,
    public val withdrawn: Boolean = false,
)

/**
 * The serialized form of [org.quetzalloom.core.configuration.Workspace].
 *
 * @property allowed the versions that requests of this workspace may run on.
 */
@Serializable
public data class WorkspaceDocument(
    public val id: String,
    public val allowed: List<String>,
    @SerialName("quality_target")
    public val qualityTarget: Double = 0.0,
)

/** The serialized form of [org.quetzalloom.core.configuration.BackendServer]. */
@Serializable
public data class BackendServerDocument(
    public val id: String,
    public val zone: String,
    public val address: String,
    public val versions: List<String>,
    public val capacity: Int,
    @SerialName("cold_capacity")
    public val coldCapacity: Int,
    @SerialName("warm_up_milliseconds")
    public val warmUpMilliseconds: Long,
    @SerialName("checks_fencing")
    public val checksFencing: Boolean = false,
    public val leaving: Boolean = false,
)

/**
 * The serialized form of [org.quetzalloom.core.configuration.ServiceRoute].
 *
 * @property nonRepeatableMethods the HTTP methods, in any case, whose calls run at most once and need an idempotency
 *   key.
 */
@Serializable
public data class ServiceDocument(
    @SerialName("path_prefix")
    public val pathPrefix: String,
    public val model: String,
    @SerialName("non_repeatable_methods")
    public val nonRepeatableMethods: List<String> = emptyList(),
)

/** The serialized form of [org.quetzalloom.core.configuration.Rollout]. */
@Serializable
public data class RolloutDocument(
    public val from: String,
    public val to: String,
    @SerialName("share_permille")
    public val sharePermille: Int,
    public val paused: Boolean = false,
)
