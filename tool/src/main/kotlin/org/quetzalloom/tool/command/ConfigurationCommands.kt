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

/** `check`: reads the settings and says what is wrong with them. */
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

/** `diff`: compares the settings with the configuration in force. */
internal class DiffCommand : ToolCommand("diff", "Compare the files with the configuration in force") {
    override fun run(site: Site): ExitCode = run(site, Operation.Diff(site.configuration))
}

/** `publish`: puts the configuration of the settings in force. */
@OptIn(ExperimentalCli::class)
internal class PublishCommand : ToolCommand("publish", "Put the configuration of the files in force") {
    private val base by option(ArgType.Int, description = "The revision that the files were made for")

    override fun run(site: Site): ExitCode {
        val change = Operation.Change(
            base = base?.toLong(),
            retries = false,
            decide = ChangeDecisions.publish(site.configuration),
        )
        return run(site, change)
    }
}
