package org.quetzalloom.tool.operation

import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ConfigurationChange

/** What an operator asked for. */
internal sealed interface Operation {
    /**
     * Change the configuration.
     *
     * @property base the revision to build on, or `null` for the newest.
     * @property repeats whether to try again on a newer revision if another change came first.
     * @property decide returns the change in sight of a configuration, or why there is none.
     */
    data class Change(
        val base: Long? = null,
        val retries: Boolean = true,
        val decide: (Configuration?) -> ChangeDecision,
    ) : Operation

    /** Compare [wanted] with the configuration in the log. */
    data class Diff(val wanted: Configuration) : Operation

    /**
     * Call each of [vms].
     *
     * @property format returns what to print of the answers, by VM; `null` where there was none.
     */
    data class CallVms(
        val vms: List<String>,
        val method: String,
        val path: String,
        val format: (Map<String, String?>) -> String,
    ) : Operation
}

/** Whether and how an order changes the configuration. */
internal sealed interface ChangeDecision {
    /** The order is [change]. */
    data class Propose(val change: ConfigurationChange) : ChangeDecision

    /** Everything is as the order wants it. */
    data class NoChange(val reason: String) : ChangeDecision

    /** The order makes no sense. */
    data class Refuse(val reason: String) : ChangeDecision
}
