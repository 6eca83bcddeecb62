package org.quetzalloom.standins.load

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.endpoint
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.encodeToString
import org.quetzalloom.runtime.EventLoop
import org.quetzalloom.runtime.LoopSettings
import org.quetzalloom.wire.WireFormat
import java.io.File
import kotlin.system.exitProcess

private val defaults = LoadSettings(targets = emptyList())

/**
 * Sends requests at a fixed rate and reports results and latencies.
 *
 * Prints the [LoadReport] without its samples; `--output` writes it with them to a file. The exit status is 1 if
 * `--must-be-whole` is set and a result is not `whole`, and 0 otherwise. [LoadSample.result] lists the results.
 */
@OptIn(ExperimentalCli::class)
class LoadCommand : Subcommand("load", "Send requests at a fixed rate and report results and latencies") {
    private val targets by option(
        ArgType.String,
        description = "The host:port of each router or engine, separated by commas",
    ).required()
    private val direct by option(
        ArgType.Boolean,
        description = "The targets are engines instead of routers",
    ).default(false)
    private val rate by option(ArgType.Int, description = "The requests per second").default(defaults.requestsPerSecond)
    private val duration by option(
        ArgType.Int,
        "duration-milliseconds",
        description = "The time during which requests are started",
    ).default(defaults.durationMilliseconds.toInt())
    private val workspace by option(ArgType.String, description = "The workspace of all requests").default("")
    private val model by option(ArgType.String, description = "The requested model").default("auto")
    private val version by option(ArgType.String, description = "The requested version, with --direct")
    private val maximumTokens by option(
        ArgType.Int,
        "max-tokens",
        description = "The maximum number of tokens of an answer",
    ).default(defaults.maximumTokens)
    private val commandPercent by option(
        ArgType.Int,
        "command-percent",
        description = "The percentage of requests that are commands",
    ).default(0)
    private val commandPath by option(ArgType.String, "command-path", description = "The path of commands").default("")
    private val sessions by option(
        ArgType.Int,
        description = "The number of sessions of the completions, or 0 for none",
    ).default(0)
    private val seed by option(ArgType.Int, description = "The seed of prompts, keys and sessions").default(1)
    private val output by option(ArgType.String, description = "The file to write the report to")
    private val mustBeWhole by option(
        ArgType.Boolean,
        "must-be-whole",
        description = "Fail unless all results are whole",
    ).default(false)

    override fun execute() {
        val report = run(settings())
        output?.let { File(it).writeText(WireFormat.encodeToString(report)) }
        println(WireFormat.encodeToString(report.copy(samples = emptyList())))
        val allWhole = report.results.keys.all { it.endsWith(":whole") }
        exitProcess(if (mustBeWhole && !allWhole) 1 else 0)
    }

    private fun settings(): LoadSettings = LoadSettings(
        targets = targets.split(','),
        direct = direct,
        requestsPerSecond = rate,
        durationMilliseconds = duration.toLong(),
        workspace = workspace,
        model = model,
        version = version,
        maximumTokens = maximumTokens,
        commandPercent = commandPercent,
        commandPath = commandPath,
        sessions = sessions,
        seed = seed.toLong(),
    )

    private fun run(settings: LoadSettings): LoadReport {
        val client = LoadClient(client(), settings)
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val report = CompletableDeferred<LoadReport>()
        val loop: EventLoop<LoadState, LoadEvent, LoadEffect> = EventLoop(
            initial = LoadState(),
            reducer = LoadReducer(settings),
            tick = LoadEvent.Tick,
            settings = LoopSettings(name = "load-loop", tickMilliseconds = 1),
        )
        loop.start { effect ->
            when (effect) {
                is LoadEffect.SendCompletion ->
                    scope.launch { loop.post(LoadEvent.RequestEnded(client.sendCompletion(effect))) }
                is LoadEffect.SendCommand ->
                    scope.launch { loop.post(LoadEvent.RequestEnded(client.sendCommand(effect))) }
                is LoadEffect.Report -> report.complete(LoadReport.of(effect.samples))
            }
        }
        return runBlocking { report.await() }
    }

    private fun client(): HttpClient = HttpClient(CIO) {
        engine {
            requestTimeout = 0
            maxConnectionsCount = MAXIMUM_CONNECTIONS
            endpoint { maxConnectionsPerRoute = MAXIMUM_CONNECTIONS }
        }
    }

    private companion object {
        const val MAXIMUM_CONNECTIONS = 10_000
    }
}
