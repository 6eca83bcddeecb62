package org.quetzalloom.tool.command

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.parameter
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.isSuccess
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking
import org.quetzalloom.tool.ExitCode
import org.quetzalloom.tool.operation.ExplanationTable
import java.io.IOException
import kotlin.system.exitProcess

private const val CALL_TIMEOUT_MILLISECONDS = 3_000L

/**
 * `explain`: asks a router of the users' platform where a request would go now, and why. The request is not sent. The
 * router answers only to callers on its own machine.
 */
@OptIn(ExperimentalCli::class)
internal class ExplainCommand : Subcommand("explain", "Say where a request would go now, and why, without sending it") {
    private val router by option(ArgType.String, description = "Address of the router's status page")
        .default("127.0.0.1:9464")
    private val host by option(ArgType.String, description = "The host that the request names").required()
    private val path by option(ArgType.String, description = "The path of the request").required()
    private val workspace by option(ArgType.String, description = "The workspace whose key the request has")
    private val key by option(ArgType.String, description = "The key of the request")
    private val id by option(ArgType.String, description = "The caller's id of the request")
    private val session by option(ArgType.String, description = "The session of the request")
    private val prompt by option(ArgType.String, description = "Parts of a prompt and their tokens: c035:800,91bd:410")
    private val outputTokens by option(ArgType.Int, "output-tokens", description = "The tokens to generate")
    private val timeLeft by option(ArgType.Int, "time-left", description = "The milliseconds that the caller waits")
    private val json by option(ArgType.Boolean, description = "Print JSON").default(false)

    override fun execute(): Unit = exitProcess(runBlocking { ask() }.status)

    private suspend fun ask(): ExitCode {
        val client = HttpClient(CIO) { install(HttpTimeout) { requestTimeoutMillis = CALL_TIMEOUT_MILLISECONDS } }
        return client.use {
            try {
                val response = it.get("http://$router/explain") {
                    parameters().forEach { (name, value) -> parameter(name, value) }
                }
                print(response)
            } catch (problem: IOException) {
                printError("the router $router does not answer: ${problem.message}")
            }
        }
    }

    private fun parameters(): Map<String, Any?> = mapOf(
        "host" to host,
        "path" to path,
        "workspace" to workspace,
        "key" to key,
        "id" to id,
        "session" to session,
        "prompt" to prompt,
        "output_tokens" to outputTokens,
        "time_left_ms" to timeLeft,
    )

    private suspend fun print(response: HttpResponse): ExitCode {
        val body = response.bodyAsText()
        if (!response.status.isSuccess()) return printError("the router refused: ${response.status.value} $body")
        println(if (json) body else ExplanationTable.text(body))
        return ExitCode.DONE
    }

    private fun printError(message: String): ExitCode {
        System.err.println(message)
        return ExitCode.REFUSED
    }
}
