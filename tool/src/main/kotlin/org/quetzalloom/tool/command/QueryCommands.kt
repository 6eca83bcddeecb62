package org.quetzalloom.tool.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import org.quetzalloom.tool.ExitCode
import org.quetzalloom.tool.operation.Operation
import org.quetzalloom.tool.operation.StatusTable
import org.quetzalloom.tool.operation.TimelineFilter
import org.quetzalloom.tool.operation.TimelineTable
import org.quetzalloom.wire.site.Site

/** `status`: prints the status of every entry VM. */
internal class StatusCommand : ToolCommand("status", "Show the state of every VM") {
    override fun run(site: Site): ExitCode {
        val format: (Map<String, String?>) -> String = if (json) StatusTable::json else StatusTable::text
        return run(site, Operation.CallVms(site.document.vms.map { it.id }, "GET", "/admin/status", format))
    }
}

/**
 * `timeline`: prints the merged time line of all entry VMs, in causal order.
 *
 * A time that is not a whole number of milliseconds is ignored.
 */
@OptIn(ExperimentalCli::class)
internal class TimelineCommand : ToolCommand("timeline", "Show the time line of all VMs") {
    private val request by option(ArgType.String, description = "Only this request")
    private val session by option(ArgType.String, description = "Only requests of this session")
    private val key by option(ArgType.String, description = "Only requests with this idempotency key")
    private val vm by option(ArgType.String, description = "Only this VM")
    private val from by option(ArgType.String, description = "Only from this time, in milliseconds since the epoch")
    private val until by option(ArgType.String, description = "Only until this time")

    override fun run(site: Site): ExitCode {
        val filter = TimelineFilter(request, session, key, vm, from?.toLongOrNull(), until?.toLongOrNull())
        val format: (Map<String, String?>) -> String = { answers ->
            if (json) TimelineTable.json(answers, filter) else TimelineTable.text(answers, filter)
        }
        return run(site, Operation.CallVms(site.document.vms.map { it.id }, "GET", "/admin/timeline", format))
    }
}
