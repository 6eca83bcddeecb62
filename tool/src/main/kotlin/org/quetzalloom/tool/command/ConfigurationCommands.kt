package org.quetzalloom.tool.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.serialization.encodeToString
import org.quetzalloom.tool.ExitCode
import org.quetzalloom.tool.operation.ChangeDecisions
import org.quetzalloom.tool.operation.Operation
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.configuration.toDocument
import org.quetzalloom.wire.site.Site

/** `check`: validates the settings, and prints a summary of them or, as JSON, their configuration. */
internal class CheckCommand : ToolCommand("check", "Check the settings and the configuration") {
    override fun run(site: Site): ExitCode {
        println(if (json) WireFormat.encodeToString(site.configuration.toDocument()) else summary(site))
        return ExitCode.DONE
    }

    private fun summary(site: Site): String = "ok: ${site.document.vms.size} VMs, " +
        "${site.configuration.zones.size} availability zones, " +
        "${site.configuration.workspaces.size} workspaces, " +
        "${site.configuration.versions.size} versions, " +
        "${site.configuration.backendServers.size} backend servers"
}

/** `diff`: compares the configuration in the settings with the one in force. */
internal class DiffCommand : ToolCommand("diff", "Compare the settings files with the configuration in force") {
    override fun run(site: Site): ExitCode = run(site, Operation.Diff(site.configuration))
}

/**
 * `publish`: makes the configuration in the settings the one in force.
 *
 * Unlike other changes, it is not retried if another change comes first, but ends with [ExitCode.LOST_RACE].
 */
@OptIn(ExperimentalCli::class)
internal class PublishCommand : ToolCommand("publish", "Publish the configuration in the settings files") {
    private val base by option(ArgType.Int, description = "The revision that the files are based on")

    override fun run(site: Site): ExitCode {
        val change = Operation.Change(
            base = base?.toLong(),
            retries = false,
            decide = ChangeDecisions.publish(site.configuration),
        )
        return run(site, change)
    }
}
