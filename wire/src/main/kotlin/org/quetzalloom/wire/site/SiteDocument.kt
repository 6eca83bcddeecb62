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
 * The contents of one TOML settings file: the base file, or the overlay of a site.
 *
 * Each process reads [platform], [fleet], [limits] and [vms] at its start. The other tables are the configuration,
 * which operators publish through the platform's log.
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

/**
 * Host and port of each platform service.
 *
 * @property log the log.
 * @property vms the list of VMs.
 * @property ratings the service that rates answers.
 */
@Serializable
public data class PlatformDocument(
    public val log: String? = null,
    public val vms: String? = null,
    public val ratings: String? = null,
)

/**
 * Settings that are the same on all entry VMs.
 *
 * @property sessionSecret the key that session tokens are signed with.
 * @property largestBodyBytes the maximum size of the body of a caller's request.
 * @property defaultTimeoutMilliseconds the timeout of requests whose caller sets none.
 */
@Serializable
public data class FleetDocument(
    @SerialName("session_secret")
    public val sessionSecret: String? = null,
    @SerialName("largest_body_bytes")
    public val largestBodyBytes: Long? = null,
    @SerialName("default_timeout_milliseconds")
    public val defaultTimeoutMilliseconds: Long? = null,
)

/**
 * An entry VM, which runs a router.
 *
 * @property zone its availability zone.
 * @property address host and port that its router listens on.
 */
@Serializable
public data class VmEntryDocument(
    public val id: String,
    public val zone: String,
    public val address: String,
)

/** The limits that override the defaults of [org.quetzalloom.core.router.RouterLimits]. */
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
