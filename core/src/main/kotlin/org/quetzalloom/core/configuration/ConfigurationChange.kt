package org.quetzalloom.core.configuration

import kotlinx.collections.immutable.mutate
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId

/** A change of the configuration that an operator or the roll-out policy makes. */
public sealed interface ConfigurationChange {
    /**
     * Replaces the whole configuration by [configuration], whose revision number is ignored.
     *
     * What other changes have set stays in effect for items that still exist: withdrawn versions, availability zones
     * out of service, leaving backend servers and roll-outs.
     */
    public data class Publish(public val configuration: Configuration) : ConfigurationChange

    /** Puts [zone] in service or takes it out of service. */
    public data class SetZone(public val zone: AvailabilityZoneId, public val inService: Boolean) : ConfigurationChange

    /** Withdraws [version] permanently and ends the roll-out to it, if any. */
    public data class Withdraw(public val version: VersionId) : ConfigurationChange

    /** Sets whether [server] is leaving. */
    public data class SetLeaving(public val server: BackendServerId, public val leaving: Boolean) : ConfigurationChange

    /** Starts [rollout] or replaces the current roll-out of the same model. */
    public data class SetRollout(public val rollout: Rollout) : ConfigurationChange

    /** Ends the roll-out of [model]: its two versions are again chosen by cost and quality alone. */
    public data class EndRollout(public val model: String) : ConfigurationChange
}

/**
 * Returns the configuration after [change], at the next revision.
 *
 * Returns `null` if the change is invalid: it names something that does not exist, or its roll-out has a share out of
 * range or does not connect two active versions of one model.
 */
public fun Configuration.applyOrNull(change: ConfigurationChange): Configuration? =
    changedOrNull(change)?.copy(revision = revision + 1)

private fun Configuration.changedOrNull(change: ConfigurationChange): Configuration? = when (change) {
    is ConfigurationChange.Publish -> change.configuration.keepingOperatorChangesOf(this)
    is ConfigurationChange.SetZone -> withZoneOrNull(change)
    is ConfigurationChange.Withdraw -> withoutVersionOrNull(change.version)
    is ConfigurationChange.SetLeaving -> backendServers[change.server]?.let {
        copy(backendServers = backendServers.put(it.id, it.copy(leaving = change.leaving)))
    }
    is ConfigurationChange.SetRollout -> withRolloutOrNull(change.rollout)
    is ConfigurationChange.EndRollout -> if (change.model in rollouts) {
        copy(rollouts = rollouts.remove(change.model))
    } else {
        null
    }
}

private fun Configuration.keepingOperatorChangesOf(old: Configuration): Configuration {
    val merged = copy(
        revision = old.revision,
        zonesOutOfService = zonesOutOfService.addAll(old.zonesOutOfService.filter { it in zones }),
        versions = versions.mutate { all ->
            old.versions.values.filter { it.withdrawn }
                .forEach { withdrawn -> all.computeIfPresent(withdrawn.id) { _, new -> new.copy(withdrawn = true) } }
        },
        backendServers = backendServers.mutate { all ->
            old.backendServers.values.filter { it.leaving }
                .forEach { leaving -> all.computeIfPresent(leaving.id) { _, new -> new.copy(leaving = true) } }
        },
    )
    return old.rollouts.values.fold(merged) { updated, rollout -> updated.withRolloutOrNull(rollout) ?: updated }
}

private fun Configuration.withZoneOrNull(change: ConfigurationChange.SetZone): Configuration? = when {
    change.zone !in zones -> null
    change.inService -> copy(zonesOutOfService = zonesOutOfService.remove(change.zone))
    else -> copy(zonesOutOfService = zonesOutOfService.add(change.zone))
}

private fun Configuration.withoutVersionOrNull(id: VersionId): Configuration? = versions[id]?.let { version ->
    val remaining = if (rollouts[version.model]?.to == id) rollouts.remove(version.model) else rollouts
    copy(versions = versions.put(id, version.copy(withdrawn = true)), rollouts = remaining)
}

private fun Configuration.withRolloutOrNull(rollout: Rollout): Configuration? {
    val model = activeVersionOrNull(rollout.to)?.model ?: return null
    val sameModel = activeVersionOrNull(rollout.from)?.model == model
    val validShare = rollout.sharePermille in 0..Rollout.FULL_SHARE_PERMILLE
    return if (sameModel && validShare) copy(rollouts = rollouts.put(model, rollout)) else null
}
