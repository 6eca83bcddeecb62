package org.quetzalloom.standins.audit

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.required
import kotlinx.serialization.encodeToString
import org.quetzalloom.standins.load.LoadReport
import org.quetzalloom.standins.service.ExecutedCalls
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.log.RecordDocument
import org.quetzalloom.wire.platform.ReadResponse
import java.io.File
import kotlin.system.exitProcess

/**
 * Compares what callers were told with the calls that the services executed and with the bills in the log.
 *
 * Prints the [AuditFindings] as JSON. The exit status is 0 if they are clean, and 1 otherwise.
 */
@OptIn(ExperimentalCli::class)
class AuditCommand : Subcommand(
    "audit",
    "Compare load reports with the calls that services executed and the bills in the log",
) {
    private val log by option(ArgType.String, description = "The host:port of the log").required()
    private val services by option(
        ArgType.String,
        description = "The host:port of each service, separated by commas",
    ).required()
    private val reports by option(
        ArgType.String,
        description = "The files of the load reports, separated by commas",
    ).required()

    override fun execute() {
        val findings = AuditFindings.of(
            samples = reports.split(',')
                .flatMap { WireFormat.decodeFromString<LoadReport>(File(it).readText()).samples },
            executedCalls = services.split(',').flatMap { executedCalls(it) },
            bills = bills(),
        )
        println(WireFormat.encodeToString(findings))
        exitProcess(if (findings.isClean) 0 else 1)
    }

    private fun executedCalls(address: String) =
        WireFormat.decodeFromString<ExecutedCalls>(BlockingHttpClient.get("http://$address/books")).entries

    private fun bills(): List<RecordDocument.OfBill> {
        val pages = generateSequence(page(0)) { last -> page(last.next) }.takeWhile { it.entries.isNotEmpty() }
        return pages.flatMap { it.entries }.mapNotNull { it.record as? RecordDocument.OfBill }.toList()
    }

    private fun page(from: Long): ReadResponse =
        WireFormat.decodeFromString(BlockingHttpClient.get("http://$log/streams/bills?from=$from"))
}
