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

/** The property of the HTTP server that lets it close by itself on a signal, which would cut requests. */
private const val KTOR_SHUTDOWN_HOOK = "io.ktor.server.engine.ShutdownHook"
private val logger = LoggerFactory.getLogger("quetzalloomd")

/** Runs the router: `quetzalloomd --settings base.toml --overlay site.toml --vm vm-1`. */
public fun main(arguments: Array<String>) {
    System.setProperty(KTOR_SHUTDOWN_HOOK, "false")
    val parser = ArgParser("quetzalloomd")
    val settings by parser.option(ArgType.String, description = "The base file").required()
    val overlay by parser.option(ArgType.String, description = "The overlay of the site")
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

/** Runs [daemon] until it has stopped, also on a signal. A failure of the loop ends the process at once. */
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
