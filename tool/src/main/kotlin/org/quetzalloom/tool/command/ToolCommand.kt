package org.quetzalloom.tool.command

import com.github.michaelbull.result.fold
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.serialization.encodeToString
import org.quetzalloom.tool.ExitCode
import org.quetzalloom.tool.ToolProcess
import org.quetzalloom.tool.operation.Operation
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.site.Site
import org.quetzalloom.wire.site.SiteFile
import java.io.File
import kotlin.system.exitProcess

/**
 * A command of the tool.
 *
 * Loads the settings, runs the command on them and exits the process; settings that are not valid end it with
 * [ExitCode.BAD_USAGE].
 */
@OptIn(ExperimentalCli::class)
internal abstract class ToolCommand(name: String, description: String) : Subcommand(name, description) {
    private val settings by option(ArgType.String, description = "The base settings file").required()
    private val overlay by option(ArgType.String, description = "The settings file of the site")

    /** Whether to print JSON instead of text. */
    protected val json: Boolean by option(ArgType.Boolean, description = "Print JSON").default(false)

    /** Runs the command with the settings in [site]. */
    protected abstract fun run(site: Site): ExitCode

    final override fun execute() {
        val paths = listOfNotNull(settings, overlay)
        val missing = paths.firstOrNull { !File(it).canRead() }
        if (missing != null) exit(ExitCode.BAD_USAGE, "$missing: the file cannot be read")
        val site = Site.load(paths.map { SiteFile(name = it, text = File(it).readText()) })
        site.fold(
            success = { exitProcess(run(it).status) },
            failure = { problems -> exit(ExitCode.BAD_USAGE, problems.joinToString("\n")) },
        )
    }

    /** Runs [operation] against the fleet of [site]; exits the process if the address of the log is not set. */
    protected fun run(site: Site, operation: Operation): ExitCode {
        val log = site.document.platform?.log ?: exit(ExitCode.BAD_USAGE, "the key platform.log is missing")
        val wrapsInJson = json && operation !is Operation.CallVms
        val format: (String) -> String = if (wrapsInJson) ::message else { text -> text }
        return ToolProcess(log, site.document.vms.associate { it.id to it.address }, format).run(operation)
    }

    private fun message(text: String): String = WireFormat.encodeToString(mapOf("message" to text))

    /** Prints [message] as an error and exits the process. */
    protected fun exit(code: ExitCode, message: String): Nothing {
        System.err.println(message)
        exitProcess(code.status)
    }
}
