package org.quetzalloom.standins.audit

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import java.io.IOException
import kotlin.system.exitProcess

/** Reads or posts a page, again and again until it answers as expected. */
@OptIn(ExperimentalCli::class)
class FetchCommand : Subcommand("fetch", "Read a page, or post to it, until it answers") {
    private val url by option(ArgType.String, description = "The page").required()
    private val post by option(ArgType.String, description = "What to post")
    private val contains by option(ArgType.String, description = "What the answer must contain").default("")
    private val lacks by option(ArgType.String, description = "What the answer must not contain")
    private val timeoutMilliseconds by option(ArgType.Int, "patience-milliseconds", description = "How long to try")
        .default(0)

    override fun execute() {
        val deadline = System.nanoTime() + timeoutMilliseconds * NANOSECONDS_PER_MILLISECOND
        while (true) {
            val body = fetchOrNull()
            if (body != null && isExpected(body)) {
                println(body)
                exitProcess(0)
            }
            if (System.nanoTime() >= deadline) {
                System.err.println("$url did not answer as expected")
                exitProcess(1)
            }
            Thread.sleep(RETRY_INTERVAL_MILLISECONDS)
        }
    }

    private fun isExpected(body: String): Boolean = contains in body && lacks?.let { it in body } != true

    private fun fetchOrNull(): String? = try {
        post?.let { HttpReader.post(url, it) } ?: HttpReader.read(url)
    } catch (_: IOException) {
        null
    }

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
        const val RETRY_INTERVAL_MILLISECONDS = 50L
    }
}
