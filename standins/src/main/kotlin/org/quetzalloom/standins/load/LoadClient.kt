package org.quetzalloom.standins.load

import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLine
import kotlinx.io.IOException
import kotlinx.serialization.encodeToString
import org.quetzalloom.standins.engine.AnswerText
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.backend.GenerateEvent
import org.quetzalloom.wire.backend.GenerateRequest
import org.quetzalloom.wire.caller.CallerHeaders
import org.quetzalloom.wire.caller.ChatChunk
import org.quetzalloom.wire.caller.ChatMessage
import org.quetzalloom.wire.caller.ChatRequest
import org.quetzalloom.wire.caller.ErrorResponse

/**
 * Sends completion requests and commands to routers or engines, and checks the text of each completion.
 *
 * The stand-in engines answer a prompt with words that [AnswerText] computes, so that missing, repeated and wrong
 * parts are found.
 */
class LoadClient(private val client: HttpClient, private val settings: LoadSettings) {
    /** Sends a completion, as a chat request to a router or directly to an engine, and returns its result. */
    suspend fun sendCompletion(effect: LoadEffect.SendCompletion): LoadSample {
        val stopwatch = Stopwatch()
        return try {
            if (settings.direct) callEngine(effect, stopwatch) else callRouter(effect, stopwatch)
        } catch (_: IOException) {
            LoadSample(kind = COMPLETION, result = "cut", wholeMicroseconds = stopwatch.elapsedMicroseconds())
        }
    }

    /**
     * Sends a command to a router and returns its result, which is `whole` for any success status; the body is not
     * checked.
     */
    suspend fun sendCommand(effect: LoadEffect.SendCommand): LoadSample {
        val stopwatch = Stopwatch()
        return try {
            client.preparePost("http://${effect.target}${settings.commandPath}") {
                contentType(ContentType.Application.Json)
                header(CallerHeaders.WORKSPACE, settings.workspace)
                header(CallerHeaders.KEY, effect.key)
                setBody("{\"key\":\"${effect.key}\"}")
            }.execute { response -> commandSample(effect, response, stopwatch) }
        } catch (_: IOException) {
            LoadSample(COMMAND, "cut", key = effect.key, wholeMicroseconds = stopwatch.elapsedMicroseconds())
        }
    }

    private suspend fun commandSample(
        effect: LoadEffect.SendCommand,
        response: HttpResponse,
        stopwatch: Stopwatch,
    ): LoadSample {
        val body = response.bodyAsText()
        val sample = LoadSample(COMMAND, "whole", key = effect.key, wholeMicroseconds = stopwatch.elapsedMicroseconds())
        return if (response.status.isSuccess()) sample else sample.withError(body)
    }

    private suspend fun callRouter(effect: LoadEffect.SendCompletion, stopwatch: Stopwatch): LoadSample {
        val request = ChatRequest(
            model = settings.model,
            messages = listOf(ChatMessage(role = ROLE, content = effect.prompt)),
            stream = true,
            maximumTokens = settings.maximumTokens,
        )
        return client.preparePost("http://${effect.target}/v1/chat/completions") {
            contentType(ContentType.Application.Json)
            header(CallerHeaders.WORKSPACE, settings.workspace)
            effect.session?.let { header(CallerHeaders.SESSION, it) }
            setBody(WireFormat.encodeToString(request))
        }.execute { response -> readRouterResponse(effect, response, stopwatch) }
    }

    private suspend fun readRouterResponse(
        effect: LoadEffect.SendCompletion,
        response: HttpResponse,
        stopwatch: Stopwatch,
    ): LoadSample {
        val answer = AnswerCollector(version = response.headers[CallerHeaders.VERSION].orEmpty())
        if (!response.status.isSuccess()) {
            // The error replaces the result, so no text is compared.
            return answer.sample(effect, stopwatch, prompt = "").withError(response.bodyAsText())
        }
        val error = readChunks(response.bodyAsChannel(), answer, stopwatch)
        // The router sends the engine each chat message as `role: content`.
        val sample = answer.sample(effect, stopwatch, prompt = "$ROLE: ${effect.prompt}")
        return if (error == null) sample else sample.withError(error)
    }

    /** Adds all chunks of the stream to [answer]. Returns the JSON of the error event that ended it, or `null`. */
    private suspend fun readChunks(channel: ByteReadChannel, answer: AnswerCollector, stopwatch: Stopwatch): String? {
        while (true) {
            val line = channel.readLine() ?: return null
            if (line == ERROR_EVENT_LINE) return channel.readLine().orEmpty().removePrefix(DATA_PREFIX)
            if (line.startsWith(DATA_PREFIX) && line != DONE_LINE) {
                val chunk = WireFormat.decodeFromString<ChatChunk>(line.removePrefix(DATA_PREFIX))
                answer.add(chunk.choices.first().delta.content, isComplete = chunk.usage != null, stopwatch = stopwatch)
            }
        }
    }

    private suspend fun callEngine(effect: LoadEffect.SendCompletion, stopwatch: Stopwatch): LoadSample {
        val request = GenerateRequest(
            version = settings.version.orEmpty(),
            prompt = effect.prompt,
            maximumTokens = settings.maximumTokens,
            priority = 1,
        )
        return client.preparePost("http://${effect.target}/generate") {
            contentType(ContentType.Application.Json)
            setBody(WireFormat.encodeToString(request))
        }.execute { response -> readEngineResponse(effect, response, stopwatch) }
    }

    /**
     * Reads the stream of an engine. The status is not checked: an error response, which contains no events, is counted
     * as `cut`.
     */
    private suspend fun readEngineResponse(
        effect: LoadEffect.SendCompletion,
        response: HttpResponse,
        stopwatch: Stopwatch,
    ): LoadSample {
        val answer = AnswerCollector(version = settings.version.orEmpty())
        val channel = response.bodyAsChannel()
        while (true) {
            val line = channel.readLine() ?: break
            if (line.startsWith(DATA_PREFIX)) {
                val event = WireFormat.decodeFromString<GenerateEvent>(line.removePrefix(DATA_PREFIX))
                answer.add(event.text, isComplete = event.total != null, stopwatch = stopwatch)
            }
        }
        return answer.sample(effect, stopwatch, prompt = effect.prompt)
    }

    /** Collects the text of a completion, which [version] generates, and compares it with the expected one. */
    private inner class AnswerCollector(val version: String) {
        private val text = StringBuilder()
        private var firstMicroseconds: Long? = null
        private var isComplete = false

        fun add(chunk: String, isComplete: Boolean, stopwatch: Stopwatch) {
            if (firstMicroseconds == null) firstMicroseconds = stopwatch.elapsedMicroseconds()
            text.append(chunk)
            this.isComplete = this.isComplete || isComplete
        }

        fun sample(effect: LoadEffect.SendCompletion, stopwatch: Stopwatch, prompt: String): LoadSample = LoadSample(
            kind = COMPLETION,
            result = result(prompt),
            version = version,
            session = effect.session,
            firstMicroseconds = firstMicroseconds,
            wholeMicroseconds = stopwatch.elapsedMicroseconds(),
        )

        private fun result(prompt: String): String = when {
            !isComplete -> "cut"
            text.toString() == expected(prompt) -> "whole"
            else -> "wrong"
        }

        private fun expected(prompt: String): String = AnswerText.tokens(
            version,
            prompt,
            position = 0,
            count = AnswerText.tokenCount(prompt, settings.maximumTokens),
        )
    }

    private companion object {
        const val COMPLETION = "completion"
        const val COMMAND = "command"
        const val ROLE = "user"
        const val DATA_PREFIX = "data: "
        const val ERROR_EVENT_LINE = "event: error"
        const val DONE_LINE = "data: [DONE]"
    }
}

/** Returns the sample with the error in [body] as its result: `unreadable_error` if it cannot be parsed. */
private fun LoadSample.withError(body: String): LoadSample = try {
    val error = WireFormat.decodeFromString<ErrorResponse>(body).error
    copy(result = error.code, notRun = error.notRun)
} catch (_: IllegalArgumentException) {
    copy(result = "unreadable_error")
}
