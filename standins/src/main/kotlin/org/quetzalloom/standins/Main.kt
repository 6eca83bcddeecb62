package org.quetzalloom.standins

import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import org.quetzalloom.standins.audit.AuditCommand
import org.quetzalloom.standins.audit.FetchCommand
import org.quetzalloom.standins.audit.WorkCommand
import org.quetzalloom.standins.engine.EngineSettings
import org.quetzalloom.standins.engine.EngineStandIn
import org.quetzalloom.standins.fault.FaultInjectingStandIn
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.StandInServer
import org.quetzalloom.standins.load.LoadCommand
import org.quetzalloom.standins.log.LogStandIn
import org.quetzalloom.standins.ratings.RatingServiceStandIn
import org.quetzalloom.standins.service.ServiceStandIn
import org.quetzalloom.standins.vms.VmListStandIn
import org.quetzalloom.standins.weights.WeightStoreStandIn
import java.util.UUID

private const val APPENDS_PER_SECOND = 500
private const val RETENTION_MILLISECONDS = 86_400_000
private const val VM_LIST_LAG_MILLISECONDS = 2_000
private const val RATING_LAG_MILLISECONDS = 1_000
private const val DOWNLOAD_INTERVAL_MILLISECONDS = 1_000
private const val WORK_MILLISECONDS = 20
private val defaultEngine = EngineSettings(name = "engine")

/**
 * Runs a stand-in, the load tool or a checking tool, by the subcommand in [arguments]: `standin log --port 7001`.
 *
 * A stand-in listens on the loopback address only.
 */
@OptIn(ExperimentalCli::class)
fun main(arguments: Array<String>) {
    val parser = ArgParser("standin")
    parser.subcommands(
        LogCommand(),
        VmListCommand(),
        RatingServiceCommand(),
        WeightStoreCommand(),
        EngineCommand(),
        ServiceCommand(),
        LoadCommand(),
        AuditCommand(),
        WorkCommand(),
        FetchCommand(),
    )
    parser.parse(arguments)
}

/** A subcommand that runs a stand-in until the process is killed. */
@OptIn(ExperimentalCli::class)
private abstract class StandInCommand(name: String, description: String) : Subcommand(name, description) {
    private val port by option(ArgType.Int, description = "The port to listen on, on the loopback address").required()

    abstract fun standIn(): StandIn<*>

    override fun execute() {
        start(standIn())
    }

    private fun <S : Any> start(standIn: StandIn<S>) {
        StandInServer(FaultInjectingStandIn(standIn), port).start()
    }
}

private class LogCommand : StandInCommand("log", "The platform's append-only log") {
    private val appendsPerSecond by option(
        ArgType.Int,
        "appends-per-second",
        description = "Appends accepted per second",
    ).default(APPENDS_PER_SECOND)
    private val retention by option(
        ArgType.Int,
        "retention-milliseconds",
        description = "How long records are retained",
    ).default(RETENTION_MILLISECONDS)

    override fun standIn(): StandIn<*> = LogStandIn(appendsPerSecond, retention.toLong())
}

private class VmListCommand : StandInCommand("vms", "The platform's VM list") {
    private val lag by option(ArgType.Int, "lag-milliseconds", description = "The time until a change is visible")
        .default(VM_LIST_LAG_MILLISECONDS)

    override fun standIn(): StandIn<*> = VmListStandIn(lag.toLong())
}

private class RatingServiceCommand : StandInCommand("ratings", "The service that rates answers") {
    private val lag by option(
        ArgType.Int,
        "lag-milliseconds",
        description = "The time from a sample until its rating is visible",
    ).default(RATING_LAG_MILLISECONDS)

    override fun standIn(): StandIn<*> = RatingServiceStandIn(lag.toLong())
}

private class WeightStoreCommand : StandInCommand("weights", "The rate-limited weight store") {
    private val interval by option(
        ArgType.Int,
        "interval-milliseconds",
        description = "The minimum time between downloads",
    ).default(DOWNLOAD_INTERVAL_MILLISECONDS)

    override fun standIn(): StandIn<*> = WeightStoreStandIn(interval.toLong())
}

private class EngineCommand : StandInCommand("engine", "A model engine") {
    private val id by option(ArgType.String, description = "The prefix of the start identities").required()
    private val capacity by option(
        ArgType.Int,
        description = "The concurrent generations when warm",
    ).default(defaultEngine.capacity)
    private val coldCapacity by option(
        ArgType.Int,
        "cold-capacity",
        description = "The concurrent generations right after a start",
    ).default(defaultEngine.coldCapacity)
    private val warmUp by option(
        ArgType.Int,
        "warm-up-milliseconds",
        description = "The time from a start to full capacity",
    ).default(defaultEngine.warmUpMilliseconds.toInt())
    private val token by option(
        ArgType.Int,
        "token-milliseconds",
        description = "The time between tokens",
    ).default(defaultEngine.tokenMilliseconds.toInt())

    override fun standIn(): StandIn<*> = EngineStandIn(
        EngineSettings(
            name = id,
            capacity = capacity,
            coldCapacity = coldCapacity,
            warmUpMilliseconds = warmUp.toLong(),
            tokenMilliseconds = token.toLong(),
        ),
    )
}

private class ServiceCommand : StandInCommand("service", "A service that is not a model") {
    private val checksFencing by option(ArgType.Boolean, "checks-fencing", description = "Reject stale fencing numbers")
        .default(false)
    private val work by option(
        ArgType.Int,
        "work-milliseconds",
        description = "The duration of a call",
    ).default(WORK_MILLISECONDS)

    override fun standIn(): StandIn<*> =
        ServiceStandIn(
            startIdentity = UUID.randomUUID().toString(),
            checksFencing = checksFencing,
            workMilliseconds = work.toLong()
        )
}
