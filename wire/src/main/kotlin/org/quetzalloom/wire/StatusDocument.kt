package org.quetzalloom.wire

import kotlinx.serialization.Serializable
import org.quetzalloom.core.router.RouterStatus
import org.quetzalloom.wire.configuration.ConfigurationDocument

/**
 * The JSON form of [RouterStatus], the response body of `GET /admin/status`.
 *
 * @property configuration the configuration in force, or `null` before the first.
 */
@Serializable
public data class StatusDocument(
    public val vm: String,
    public val revision: Long,
    public val ready: Boolean,
    public val draining: Boolean,
    public val active: Int,
    public val waiting: Int,
    public val unsettledBills: Int,
    public val keptBills: Int,
    public val commands: Int,
    public val livePeers: List<String>,
    public val running: Map<String, Int>,
    public val configuration: ConfigurationDocument? = null,
)

/** Returns the JSON form of this status, with the [configuration] in force. */
public fun RouterStatus.toDocument(configuration: ConfigurationDocument?): StatusDocument = StatusDocument(
    vm = vm.value,
    revision = revision,
    ready = ready,
    draining = draining,
    active = active,
    waiting = waiting,
    unsettledBills = unsettledBills,
    keptBills = keptBills,
    commands = commands,
    livePeers = livePeers.map { it.value },
    running = running.mapKeys { it.key.value },
    configuration = configuration,
)
