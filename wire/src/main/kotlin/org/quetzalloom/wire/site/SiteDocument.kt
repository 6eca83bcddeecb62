package org.quetzalloom.wire.site

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.quetzalloom.wire.configuration.BackendServerDocument
import org.quetzalloom.wire.configuration.RolloutDocument
import org.quetzalloom.wire.configuration.ServiceDocument
import org.quetzalloom.wire.configuration.VersionDocument
import org.quetzalloom.wire.configuration.WorkspaceDocument
import org.quetzalloom.wire.configuration.ZoneDocument

/**
 * The text form of one TOML file: the base file, or the overlay of a site.
 *
 * The platform's addresses, the fleet and the limits are read by each process at its start. The rest is the
 * configuration, which operators publish through the platform's log.
 */
@Serializable
public data class SiteDocument(
    public val platform: PlatformDocument? = null,
    public val fleet: FleetDocument? = null,
    public val limits: LimitsDocument? = null,
    public val vms: List<VmEntryDocument> = emptyList(),
    public val zones: List<ZoneDocument> = emptyList(),
    public val versions: List<VersionDocument> = emptyList(),
    public val workspaces: List<WorkspaceDocument> = emptyList(),
    @SerialName("backend_servers")
    public val backendServers: List<BackendServerDocument> = emptyList(),
    public val services: List<ServiceDocument> = emptyList(),
    public val rollouts: List<RolloutDocument> = emptyList(),
)

/** Host and port of each platform service. */
@Serializable
public data class PlatformDocument(
    public val log: String? = null,
    public val vms: String? = null,
    public val ratings: String? = null,
)

/** What all VMs share. */
@Serializable
public data class FleetDocument(
    @SerialName("session_secret")
    public val sessionSecret: String? = null,
    @SerialName("largest_body_bytes")
    public val largestBodyBytes: Long? = null,
    @SerialName("default_timeout_milliseconds")
    public val defaultTimeoutMilliseconds: Long? = null,
)

/** One entry VM. */
@Serializable
public data class VmEntryDocument(
    public val id: String,
    public val zone: String,
    public val address: String,
)

/** Limits that differ from the defaults; see [org.quetzalloom.core.router.RouterLimits]. */
@Serializable
public data class LimitsDocument(
    @SerialName("staleness_milliseconds")
    public val stalenessMilliseconds: Long? = null,
    @SerialName("read_interval_milliseconds")
    public val readIntervalMilliseconds: Long? = null,
    @SerialName("appends_per_second")
    public val appendsPerSecond: Int? = null,
    @SerialName("gossip_interval_milliseconds")
    public val gossipIntervalMilliseconds: Long? = null,
    @SerialName("load_interval_milliseconds")
    public val loadIntervalMilliseconds: Long? = null,
    @SerialName("first_token_milliseconds")
    public val firstTokenMilliseconds: Long? = null,
    @SerialName("token_gap_milliseconds")
    public val tokenGapMilliseconds: Long? = null,
    @SerialName("service_silence_milliseconds")
    public val serviceSilenceMilliseconds: Long? = null,
    @SerialName("command_memory_milliseconds")
    public val commandMemoryMilliseconds: Long? = null,
    @SerialName("snapshot_interval_milliseconds")
    public val snapshotIntervalMilliseconds: Long? = null,
    @SerialName("drain_grace_milliseconds")
    public val drainGraceMilliseconds: Long? = null,
    @SerialName("active_requests")
    public val activeRequests: Int? = null,
    @SerialName("tries_per_request")
    public val triesPerRequest: Int? = null,
    @SerialName("sample_share")
    public val sampleShare: Double? = null,
)
