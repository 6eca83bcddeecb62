package org.quetzalloom.tool.command

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.default
import kotlinx.cli.optional
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.tool.ExitCode
import org.quetzalloom.tool.operation.ChangeDecisions
import org.quetzalloom.tool.operation.Operation
import org.quetzalloom.wire.site.Site

private const val FIRST_SHARE_PERMILLE = 10

/** `zone out|in`: takes an availability zone out of service, or brings it back. */
@OptIn(ExperimentalCli::class)
internal class ZoneCommand : ToolCommand("zone", "Take an availability zone out of service, or bring it back") {
    private val direction by argument(ArgType.Choice(listOf("out", "in"), { it }), description = "out or in")
    private val zone by argument(ArgType.String, description = "The availability zone")

    override fun run(site: Site): ExitCode {
        val change = ConfigurationChange.SetZone(AvailabilityZoneId(zone), inService = direction == "in")
        return run(site, Operation.Change(decide = ChangeDecisions.of(change, "availability zone '$zone'")))
    }
}

/** `withdraw`: withdraws a version, which cannot be undone. */
@OptIn(ExperimentalCli::class)
internal class WithdrawCommand : ToolCommand("withdraw", "Withdraw a version; it receives no new work") {
    private val version by argument(ArgType.String, description = "The version")

    override fun run(site: Site): ExitCode {
        val change = ConfigurationChange.Withdraw(VersionId(version))
        return run(site, Operation.Change(decide = ChangeDecisions.of(change, "version '$version'")))
    }
}

/**
 * `drain server|vm`: lets a backend server receive no new work, or shuts down the router of an entry VM once its
 * requests are answered.
 *
 * `--undo` applies to backend servers only: `drain vm` ignores it, and shuts down the router all the same.
 */
@OptIn(ExperimentalCli::class)
internal class DrainCommand : ToolCommand("drain", "Send no new work to a backend server, or stop an entry VM") {
    private val kind by argument(ArgType.Choice(listOf("server", "vm"), { it }), description = "server or vm")
    private val subject by argument(ArgType.String, description = "The backend server or the VM")
    private val undo by option(ArgType.Boolean, description = "Send work to the backend server again").default(false)

    override fun run(site: Site): ExitCode = if (kind == "server") drainServer(site) else drainVm(site)

    private fun drainServer(site: Site): ExitCode {
        val change = ConfigurationChange.SetLeaving(BackendServerId(subject), leaving = !undo)
        return run(site, Operation.Change(decide = ChangeDecisions.of(change, "backend server '$subject'")))
    }

    private fun drainVm(site: Site): ExitCode {
        if (site.document.vms.none { it.id == subject }) exit(ExitCode.BAD_USAGE, "VM '$subject' does not exist")
        return run(site, Operation.CallVms(listOf(subject), "POST", "/admin/drain") { "draining $subject" })
    }
}

/**
 * `rollout start|pause|resume|abort`: replaces a version by another of the same model step by step, pauses or resumes
 * this, or ends it so that the old version gets all requests again.
 */
@OptIn(ExperimentalCli::class)
internal class RolloutCommand : ToolCommand("rollout", "Replace a version by another, step by step") {
    private val action by argument(
        ArgType.Choice(listOf("start", "pause", "resume", "abort"), { it }),
        description = "What to do",
    )
    private val subject by argument(ArgType.String, description = "The old version (start), or the model")
    private val target by argument(ArgType.String, description = "The new version (start)").optional()
    private val share by option(
        ArgType.Int,
        description = "The initial share of the new version, in requests per thousand"
    ).default(FIRST_SHARE_PERMILLE)

    override fun run(site: Site): ExitCode = run(site, Operation.Change(decide = decision()))

    private fun decision() = when (action) {
        "start" -> ChangeDecisions.startRollout(VersionId(subject), VersionId(newVersion()), share)
        "pause" -> ChangeDecisions.pauseRollout(subject, paused = true)
        "resume" -> ChangeDecisions.pauseRollout(subject, paused = false)
        else -> ChangeDecisions.of(ConfigurationChange.EndRollout(subject), "the roll-out of '$subject'")
    }

    private fun newVersion(): String = target ?: exit(ExitCode.BAD_USAGE, "rollout start needs two versions")
}
