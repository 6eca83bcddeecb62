package org.quetzalloom.standins.audit

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import java.io.IOException
import kotlin.system.exitProcess

/**
 * Sends a GET or a POST request to a URL, and repeats it until the response is as expected or the timeout has passed.
 *
 * A failed connection and an error status count as not expected. Prints the response and exits with status 0, or exits
 * with status 1 after the timeout.
 */
@OptIn(ExperimentalCli::class)
class FetchCommand : Subcommand("fetch", "Repeat a GET or POST request until the response is as expected") {
    private val url by option(ArgType.String, description = "The URL").required()
    private val post by option(ArgType.String, description = "The body to POST; without it the request is a GET")
    private val contains by option(ArgType.String, description = "A text that the response must contain").default("")
    private val lacks by option(ArgType.String, description = "A text that the response must not contain")
    private val timeoutMilliseconds by option(
        ArgType.Int,
        "patience-milliseconds",
        description = "The timeout of all attempts together",
    ).default(0)

    override fun execute() {
        val deadline = System.nanoTime() + timeoutMilliseconds * NANOSECONDS_PER_MILLISECOND
        while (true) {
            val body = fetchOrNull()
            if (body != null && isExpected(body)) {
                println(body)
                exitProcess(0)
            }
            if (System.nanoTime() >= deadline) {
                System.err.println("$url did not return the expected response within $timeoutMilliseconds ms")
                exitProcess(1)
            }
            Thread.sleep(RETRY_INTERVAL_MILLISECONDS)
        }
    }

    private fun isExpected(body: String): Boolean = contains in body && lacks?.let { it in body } != true

    private fun fetchOrNull(): String? = try {
        post?.let { BlockingHttpClient.post(url, it) } ?: BlockingHttpClient.get(url)
    } catch (_: IOException) {
        null
    }

    private companion object {
        const val NANOSECONDS_PER_MILLISECOND = 1_000_000L
        const val RETRY_INTERVAL_MILLISECONDS = 50L
    }
}
