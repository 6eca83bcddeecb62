package org.quetzalloom.standins.audit

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.quetzalloom.standins.engine.EngineStatistics
import org.quetzalloom.wire.WireFormat
import kotlin.system.exitProcess

/** Tells whether engines began new work after some time. */
@OptIn(ExperimentalCli::class)
class WorkCommand : Subcommand("work", "Check whether engines began new work, or none, after some time") {
    private val engines by option(ArgType.String, description = "Host and port of each engine, by comma").required()
    private val version by option(ArgType.String, description = "Only work for this version")
    private val since by option(ArgType.String, description = "Milliseconds since the epoch").required()
    private val expect by option(ArgType.Choice(listOf("none", "some"), { it }), description = "What is expected")
        .default("none")

    override fun execute() {
        val limit = since.toLong()
        val latest = engines.split(',').flatMap { address ->
            val statistics = WireFormat.decodeFromString<EngineStatistics>(HttpReader.read("http://$address/books"))
            statistics.lastBegunAt.filterKeys { version == null || it == version }.values
        }.maxOrNull()
        val hasNewWork = latest != null && latest > limit
        println("last work began ${latest?.let { it - limit }} milliseconds after the time given")
        exitProcess(if (hasNewWork == (expect == "some")) 0 else 1)
    }
}
