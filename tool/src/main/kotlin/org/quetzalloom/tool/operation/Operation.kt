package org.quetzalloom.tool.operation

import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.ConfigurationChange

/** What the tool does for one command of an operator. */
internal sealed interface Operation {
    /**
     * Changes the configuration.
     *
     * @property base the revision that the change is based on, or `null` for any. The operation ends with
     *   [org.quetzalloom.tool.ExitCode.LOST_RACE] if another revision is in force.
     * @property retries whether to decide and propose again on the new revision if another change came first.
     * @property decide returns the decision for the configuration in force, which is `null` before the first.
     */
    data class Change(
        val base: Long? = null,
        val retries: Boolean = true,
        val decide: (Configuration?) -> ChangeDecision,
    ) : Operation

    /** Prints the differences between the configuration in force and [wanted]. */
    data class Diff(val wanted: Configuration) : Operation

    /**
     * Sends one HTTP request to the router on each of [vms] and prints the responses.
     *
     * @property format converts the response bodies, by VM, to the text to print; a body is `null` if the call failed.
     */
    data class CallVms(
        val vms: List<String>,
        val method: String,
        val path: String,
        val format: (Map<String, String?>) -> String,
    ) : Operation
}

/** Whether and how a command changes the configuration. */
internal sealed interface ChangeDecision {
    /** The command requires [change]. */
    data class Propose(val change: ConfigurationChange) : ChangeDecision

    /** The configuration already is as the command requires; [reason] tells the operator so. */
    data class NoChange(val reason: String) : ChangeDecision

    /** The command is not possible with this configuration, for [reason]. */
    data class Refuse(val reason: String) : ChangeDecision
}
