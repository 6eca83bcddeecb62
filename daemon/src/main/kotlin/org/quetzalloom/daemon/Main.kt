package org.quetzalloom.daemon

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.andThen
import com.github.michaelbull.result.fold
import com.github.michaelbull.result.mapError
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import org.quetzalloom.wire.site.Site
import org.quetzalloom.wire.site.SiteFile
import org.slf4j.LoggerFactory
import java.io.File
import java.util.UUID
import java.util.concurrent.CountDownLatch
import kotlin.system.exitProcess

private const val EXIT_BAD_SETTINGS = 2
private const val EXIT_INTERNAL_ERROR = 70

/**
 * The system property that makes Ktor's server close on a signal. It has to be `false`, because requests in progress
 * would be interrupted.
 */
private const val KTOR_SHUTDOWN_HOOK = "io.ktor.server.engine.ShutdownHook"
private val logger = LoggerFactory.getLogger("quetzalloomd")

/**
 * Runs the router with its own interface: `quetzalloomd --settings base.toml --overlay site.toml --vm vm-1`.
 *
 * Exits with status 0 after a graceful shutdown, 2 if the settings are not valid, and 70 if a thread
 * ends with an exception.
 */
public fun main(arguments: Array<String>) {
    System.setProperty(KTOR_SHUTDOWN_HOOK, "false")
    val parser = ArgParser("quetzalloomd")
    val settings by parser.option(ArgType.String, description = "The base settings file").required()
    val overlay by parser.option(ArgType.String, description = "The settings file of the site")
    val vm by parser.option(ArgType.String, description = "The VM that this process runs on").required()
    parser.parse(arguments)
    load(listOfNotNull(settings, overlay), vm).fold(
        success = { run(Daemon(it)) },
        failure = { exitWithBadSettings(it) },
    )
}

private fun load(paths: List<String>, vm: String): Result<DaemonSettings, String> {
    val missing = paths.firstOrNull { !File(it).canRead() }
    if (missing != null) return Err("$missing: the file cannot be read")
    return Site.load(paths.map { SiteFile(name = it, text = File(it).readText()) })
        .mapError { problems -> problems.joinToString("\n") }
        .andThen { DaemonSettings.of(it, vm, incarnation = UUID.randomUUID().toString()) }
}

/**
 * Runs [daemon] and exits the process. A signal starts a graceful shutdown. An uncaught exception ends the process at
 * once, without the shutdown hook: the hook would wait forever for a loop that no longer runs.
 */
private fun run(daemon: Daemon) {
    Thread.setDefaultUncaughtExceptionHandler { thread, problem ->
        logger.error("event=thread_failed thread={}", thread.name, problem)
        Runtime.getRuntime().halt(EXIT_INTERNAL_ERROR)
    }
    val stopped = CountDownLatch(1)
    Runtime.getRuntime().addShutdownHook(
        Thread {
            daemon.requestShutdown()
            stopped.await()
            Runtime.getRuntime().halt(0)
        },
    )
    runBlocking { daemon.run() }
    stopped.countDown()
    exitProcess(0)
}

private fun exitWithBadSettings(message: String) {
    System.err.println(message)
    exitProcess(EXIT_BAD_SETTINGS)
}
