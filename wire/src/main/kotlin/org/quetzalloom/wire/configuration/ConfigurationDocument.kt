package org.quetzalloom.wire.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The text form of a configuration, in TOML and JSON alike. */
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

/** One availability zone. */
@Serializable
public data class ZoneDocument(
    public val id: String,
    @SerialName("in_service")
    public val inService: Boolean = true,
)

/** One version. Costs are in millionths of the currency unit for 1,000 tokens or calls. */
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

/** One workspace. */
@Serializable
public data class WorkspaceDocument(
    public val id: String,
    public val allowed: List<String>,
    @SerialName("quality_target")
    public val qualityTarget: Double = 0.0,
)

/** One backend server. */
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

/** One route to a plain service. */
@Serializable
public data class ServiceDocument(
    @SerialName("path_prefix")
    public val pathPrefix: String,
    public val model: String,
    @SerialName("non_repeatable_methods")
    public val nonRepeatableMethods: List<String> = emptyList(),
)

/** One roll-out under way. */
@Serializable
public data class RolloutDocument(
    public val from: String,
    public val to: String,
    @SerialName("share_permille")
    public val sharePermille: Int,
    public val paused: Boolean = false,
)
