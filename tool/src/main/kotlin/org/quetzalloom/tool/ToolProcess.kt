package org.quetzalloom.tool

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.get
import io.ktor.client.request.post
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import kotlinx.collections.immutable.toPersistentList
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.io.IOException
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.runtime.EventLoop
import org.quetzalloom.runtime.Interpreter
import org.quetzalloom.runtime.LoopSettings
import org.quetzalloom.tool.operation.Operation
import org.quetzalloom.tool.operation.ToolEffect
import org.quetzalloom.tool.operation.ToolEvent
import org.quetzalloom.tool.operation.ToolReducer
import org.quetzalloom.tool.operation.ToolState
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.log.toDocument
import org.quetzalloom.wire.log.toRecord
import org.quetzalloom.wire.platform.AppendRequest
import org.quetzalloom.wire.platform.ReadResponse
import java.util.UUID

/**
 * Runs one operation on an event loop and carries out its effects.
 *
 * @property logAddress host and port of the platform's log.
 * @property vmAddresses host and port of the router on each entry VM, by the name of the VM.
 * @property format converts each text before it is printed.
 */
internal class ToolProcess(
    private val logAddress: String,
    private val vmAddresses: Map<String, String>,
    private val format: (String) -> String = { it },
) : Interpreter<ToolEffect> {
    private val client = HttpClient(CIO) {
        install(HttpTimeout) { requestTimeoutMillis = CALL_TIMEOUT_MILLISECONDS }
    }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val exit = CompletableDeferred<ExitCode>()
    private val author = "operator:${UUID.randomUUID()}"
    private var loop: EventLoop<ToolState, ToolEvent, ToolEffect>? = null

    /** Runs [operation] until it ends, and returns its exit code. Must be called only once. */
    fun run(operation: Operation): ExitCode {
        val newLoop: EventLoop<ToolState, ToolEvent, ToolEffect> = EventLoop(
            initial = ToolState(operation, author),
            reducer = ToolReducer,
            tick = ToolEvent.Tick,
            settings = LoopSettings(name = "tool-loop"),
        )
        loop = newLoop
        newLoop.start(this)
        val code = runBlocking { exit.await() }
        newLoop.stop()
        return code
    }

    override fun carryOut(effect: ToolEffect) {
        when (effect) {
            is ToolEffect.ReadLog -> scope.launch { post(readLog(effect)) }
            is ToolEffect.Append -> scope.launch { post(append(effect)) }
            is ToolEffect.Call -> scope.launch { post(call(effect)) }
            is ToolEffect.Print -> println(format(effect.text))
            is ToolEffect.PrintError -> System.err.println(format(effect.text))
            is ToolEffect.Exit -> exit.complete(effect.code)
        }
    }

    private fun post(event: ToolEvent) = loop?.post(event)

    private suspend fun readLog(effect: ToolEffect.ReadLog): ToolEvent {
        val text = bodyOrNull { client.get("http://$logAddress/streams/configuration?from=${effect.from}") }
        if (text == null) {
            delay(POLL_INTERVAL_MILLISECONDS)
            return ToolEvent.LogReadFailed
        }
        val response = WireFormat.decodeFromString<ReadResponse>(text)
        val entries = response.entries.map { LogEntry(it.offset, it.stamp, it.record.toRecord()) }
        if (entries.isEmpty()) delay(POLL_INTERVAL_MILLISECONDS)
        return ToolEvent.LogRead(entries.toPersistentList(), response.next)
    }

    private suspend fun append(effect: ToolEffect.Append): ToolEvent {
        val request = AppendRequest(stamp = 0, records = listOf(effect.record.toDocument()))
        val text = bodyOrNull {
            client.post("http://$logAddress/streams/configuration") {
                contentType(ContentType.Application.Json)
                setBody(WireFormat.encodeToString(request))
            }
        }
        return if (text == null) ToolEvent.AppendFailed else ToolEvent.Appended
    }

    private suspend fun call(effect: ToolEffect.Call): ToolEvent {
        val text = bodyOrNull {
            client.request("http://${vmAddresses.getValue(effect.vm)}${effect.path}") {
                method = HttpMethod.parse(effect.method)
            }
        }
        return ToolEvent.VmAnswered(effect.vm, text)
    }

    /** Returns the response body of [call], or `null` if it fails, times out or gets an unsuccessful status. */
    private suspend fun bodyOrNull(call: suspend () -> HttpResponse): String? = try {
        val response = call()
        if (response.status.isSuccess()) response.bodyAsText() else null
    } catch (_: IOException) {
        null
    }

    private companion object {
        const val CALL_TIMEOUT_MILLISECONDS = 2_000L
        const val POLL_INTERVAL_MILLISECONDS = 20L
    }
}
