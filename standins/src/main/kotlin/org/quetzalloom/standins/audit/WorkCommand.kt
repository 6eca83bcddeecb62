package org.quetzalloom.standins.audit

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.quetzalloom.standins.engine.EngineStatistics
import org.quetzalloom.wire.WireFormat
import kotlin.system.exitProcess

/**
 * Checks whether any of the engines started a generation after a given time.
 *
 * The exit status is 0 if that is as `--expect` says, and 1 otherwise. Generations that started at the given time or
 * before do not count. Prints the time of the latest one relative to the given time, or `null` if there was none.
 */
@OptIn(ExperimentalCli::class)
class WorkCommand : Subcommand("work", "Check whether engines started generations after a given time") {
    private val engines by option(
        ArgType.String,
        description = "The host:port of each engine, separated by commas",
    ).required()
    private val version by option(ArgType.String, description = "Count only generations of this version")
    private val since by option(ArgType.String, description = "The time, in milliseconds since the epoch").required()
    private val expect by option(
        ArgType.Choice(listOf("none", "some"), { it }),
        description = "Whether new generations are expected",
    ).default("none")

    override fun execute() {
        val limit = since.toLong()
        val latest = engines.split(',').flatMap { address ->
            val statistics =
                WireFormat.decodeFromString<EngineStatistics>(BlockingHttpClient.get("http://$address/books"))
            statistics.lastBegunAt.filterKeys { version == null || it == version }.values
        }.maxOrNull()
        val hasNewWork = latest != null && latest > limit
        println("the last generation started ${latest?.let { it - limit }} ms after --since")
        exitProcess(if (hasNewWork == (expect == "some")) 0 else 1)
    }
}
