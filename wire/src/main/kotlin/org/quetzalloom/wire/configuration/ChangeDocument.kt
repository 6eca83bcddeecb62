package org.quetzalloom.wire.configuration

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId

/** The JSON form of [ConfigurationChange]. The field `type` holds the serial name of the subtype. */
@Serializable
public sealed interface ChangeDocument {
    /** See [ConfigurationChange.Publish]. */
    @Serializable
    @SerialName("publish")
    public data class Publish(public val configuration: ConfigurationDocument) : ChangeDocument

    /** See [ConfigurationChange.SetZone]. */
    @Serializable
    @SerialName("set_zone")
    public data class SetZone(public val zone: String, public val inService: Boolean) : ChangeDocument

    /** See [ConfigurationChange.Withdraw]. */
    @Serializable
    @SerialName("withdraw")
    public data class Withdraw(public val version: String) : ChangeDocument

    /** See [ConfigurationChange.SetLeaving]. */
    @Serializable
    @SerialName("set_leaving")
    public data class SetLeaving(public val server: String, public val leaving: Boolean) : ChangeDocument

    /** See [ConfigurationChange.SetRollout]. */
    @Serializable
    @SerialName("set_rollout")
    public data class SetRollout(public val rollout: RolloutDocument) : ChangeDocument

    /** See [ConfigurationChange.EndRollout]. */
    @Serializable
    @SerialName("end_rollout")
    public data class EndRollout(public val model: String) : ChangeDocument
}

/** Returns the JSON form of this change. */
public fun ConfigurationChange.toDocument(): ChangeDocument = when (this) {
    is ConfigurationChange.Publish -> ChangeDocument.Publish(configuration.toDocument())
    is ConfigurationChange.SetZone -> ChangeDocument.SetZone(zone.value, inService)
    is ConfigurationChange.Withdraw -> ChangeDocument.Withdraw(version.value)
    is ConfigurationChange.SetLeaving -> ChangeDocument.SetLeaving(server.value, leaving)
    is ConfigurationChange.SetRollout -> ChangeDocument.SetRollout(rollout.toDocument())
    is ConfigurationChange.EndRollout -> ChangeDocument.EndRollout(model)
}

/**
 * Returns the change that this document describes.
 *
 * @throws IllegalArgumentException if a name is not a valid identifier or a kind of version does not exist.
 */
public fun ChangeDocument.toChange(): ConfigurationChange = when (this) {
    is ChangeDocument.Publish -> ConfigurationChange.Publish(configuration.toConfiguration())
    is ChangeDocument.SetZone -> ConfigurationChange.SetZone(AvailabilityZoneId(zone), inService)
    is ChangeDocument.Withdraw -> ConfigurationChange.Withdraw(VersionId(version))
    is ChangeDocument.SetLeaving -> ConfigurationChange.SetLeaving(BackendServerId(server), leaving)
    is ChangeDocument.SetRollout -> ConfigurationChange.SetRollout(rollout.toRollout())
    is ChangeDocument.EndRollout -> ConfigurationChange.EndRollout(model)
}
