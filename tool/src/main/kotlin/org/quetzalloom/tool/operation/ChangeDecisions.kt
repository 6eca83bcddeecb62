package org.quetzalloom.tool.operation

import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.Rollout
import org.quetzalloom.core.configuration.applyOrNull
import org.quetzalloom.core.identity.VersionId

/**
 * Returns functions for [Operation.Change.decide]. Each decides, given the configuration in force, whether and how a
 * command changes it.
 */
internal object ChangeDecisions {
    /**
     * Decides to publish [wanted], unless that leaves the configuration as it is.
     *
     * Publishing [wanted] keeps what operators have changed: zones out of service, withdrawn versions, leaving backend
     * servers and roll-outs, as far as [wanted] still has these zones, versions and backend servers.
     */
    fun publish(wanted: Configuration): (Configuration?) -> ChangeDecision = { current ->
        val change = ConfigurationChange.Publish(wanted)
        val base = current ?: Configuration()
        val next = base.applyOrNull(change)
        if (current != null && next?.copy(revision = base.revision) == base) {
            ChangeDecision.NoChange("nothing to change: revision ${base.revision} is the same")
        } else {
            ChangeDecision.Propose(change)
        }
    }

    /**
     * Decides to make [change], unless it leaves the configuration as it is or cannot be applied to it.
     *
     * @param subject names what is changed, for messages.
     */
    fun of(change: ConfigurationChange, subject: String): (Configuration?) -> ChangeDecision = { current ->
        val next = current?.applyOrNull(change)
        when {
            current == null -> ChangeDecision.Refuse("no configuration has been published yet")
            next == null -> ChangeDecision.Refuse(
                "cannot change $subject in revision ${current.revision}: it does not exist, or the change is not valid"
            )
            next.copy(revision = current.revision) == current -> ChangeDecision.NoChange(
                "nothing to change: $subject is already in this state"
            )
            else -> ChangeDecision.Propose(change)
        }
    }

    /** Decides to start a roll-out that sends [sharePermille] requests per thousand to the version [to]. */
    fun startRollout(from: VersionId, to: VersionId, sharePermille: Int): (Configuration?) -> ChangeDecision =
        of(ConfigurationChange.SetRollout(Rollout(from, to, sharePermille)), "the roll-out from '$from' to '$to'")

    /** Decides to pause the roll-out of [model], or to resume it. */
    fun pauseRollout(model: String, paused: Boolean): (Configuration?) -> ChangeDecision = { current ->
        val rollout = current?.rollouts?.get(model)
        if (rollout == null) {
            ChangeDecision.Refuse("model '$model' has no roll-out in progress")
        } else {
            of(ConfigurationChange.SetRollout(rollout.copy(paused = paused)), "the roll-out of '$model'")(current)
        }
    }
}
