package org.quetzalloom.tool.operation

import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.Rollout
import org.quetzalloom.core.configuration.applyOrNull
import org.quetzalloom.core.identity.VersionId

/** The orders of operators, as decisions in sight of the configuration in force. */
internal object ChangeDecisions {
    /** Puts [wanted] in force. */
    fun publish(wanted: Configuration): (Configuration?) -> ChangeDecision = { current ->
        val change = ConfigurationChange.Publish(wanted)
        val base = current ?: Configuration()
        val next = base.applyOrNull(change)
        if (current != null && next?.copy(revision = base.revision) == base) {
            ChangeDecision.NoChange("nothing to change: revision ${base.revision} says the same")
        } else {
            ChangeDecision.Propose(change)
        }
    }

    /** Makes [change], which [subject] describes. */
    fun of(change: ConfigurationChange, subject: String): (Configuration?) -> ChangeDecision = { current ->
        val next = current?.applyOrNull(change)
        when {
            current == null -> ChangeDecision.Refuse("no configuration was published yet")
            next == null -> ChangeDecision.Refuse("$subject does not exist in revision ${current.revision}")
            next.copy(revision = current.revision) == current -> ChangeDecision.NoChange(
                "nothing to change: $subject is so"
            )
            else -> ChangeDecision.Propose(change)
        }
    }

    /** Starts a roll-out from one version to another at [sharePermille]. */
    fun startRollout(from: VersionId, to: VersionId, sharePermille: Int): (Configuration?) -> ChangeDecision =
        of(ConfigurationChange.SetRollout(Rollout(from, to, sharePermille)), "the roll-out from '$from' to '$to'")

    /** Lets the roll-out of [model] pause, or go on. */
    fun pauseRollout(model: String, paused: Boolean): (Configuration?) -> ChangeDecision = { current ->
        val rollout = current?.rollouts?.get(model)
        if (rollout == null) {
            ChangeDecision.Refuse("model '$model' has no roll-out under way")
        } else {
            of(ConfigurationChange.SetRollout(rollout.copy(paused = paused)), "the roll-out of '$model'")(current)
        }
    }
}
