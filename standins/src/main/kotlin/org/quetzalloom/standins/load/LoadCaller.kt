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

/** Sends one request, reads its answer, and holds it against the answer that it must be. */
class LoadCaller(private val client: HttpClient, private val settings: LoadSettings) {
    /** Sends [effect] and returns how it ended. */
    suspend fun complete(effect: LoadEffect.Complete): LoadSample {
        val watch = Stopwatch()
        return try {
            if (settings.direct) generate(effect, watch) else chat(effect, watch)
        } catch (_: IOException) {
            LoadSample(kind = COMPLETION, result = "cut", wholeMicroseconds = watch.elapsedMicroseconds())
        }
    }

    /** Sends [effect] and returns how it ended. */
    suspend fun command(effect: LoadEffect.Command): LoadSample {
        val watch = Stopwatch()
        return try {
            client.preparePost("http://${effect.target}${settings.commandPath}") {
                contentType(ContentType.Application.Json)
                header(CallerHeaders.WORKSPACE, settings.workspace)
                header(CallerHeaders.KEY, effect.key)
                setBody("{\"key\":\"${effect.key}\"}")
            }.execute { response -> commandSample(effect, response, watch) }
        } catch (_: IOException) {
            LoadSample(COMMAND, "cut", key = effect.key, wholeMicroseconds = watch.elapsedMicroseconds())
        }
    }

    private suspend fun commandSample(
        effect: LoadEffect.Command,
        response: HttpResponse,
        watch: Stopwatch,
    ): LoadSample {
        val body = response.bodyAsText()
        val ended = LoadSample(COMMAND, "whole", key = effect.key, wholeMicroseconds = watch.elapsedMicroseconds())
        return if (response.status.isSuccess()) ended else ended.refused(body)
    }

    private suspend fun chat(effect: LoadEffect.Complete, watch: Stopwatch): LoadSample {
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
        }.execute { response -> readChat(effect, response, watch) }
    }

    private suspend fun readChat(effect: LoadEffect.Complete, response: HttpResponse, watch: Stopwatch): LoadSample {
        val answer = Answer(version = response.headers[CallerHeaders.VERSION].orEmpty())
        if (!response.status.isSuccess()) {
            return answer.sample(effect, watch, prompt = "").refused(response.bodyAsText())
        }
        val error = readPieces(response.bodyAsChannel(), answer, watch)
        val sample = answer.sample(effect, watch, prompt = "$ROLE: ${effect.prompt}")
        return if (error == null) sample else sample.refused(error)
    }

    /** Adds all pieces to [answer]; returns the error that ended it, or `null`. */
    private suspend fun readPieces(channel: ByteReadChannel, answer: Answer, watch: Stopwatch): String? {
        while (true) {
            val line = channel.readLine() ?: return null
            if (line == ERROR) return channel.readLine().orEmpty().removePrefix(DATA)
            if (line.startsWith(DATA) && line != DONE) {
                val piece = WireFormat.decodeFromString<ChatChunk>(line.removePrefix(DATA))
                answer.add(piece.choices.first().delta.content, ended = piece.usage != null, watch = watch)
            }
        }
    }

    private suspend fun generate(effect: LoadEffect.Complete, watch: Stopwatch): LoadSample {
        val request = GenerateRequest(
            version = settings.version.orEmpty(),
            prompt = effect.prompt,
            maximumTokens = settings.maximumTokens,
            priority = 1,
        )
        return client.preparePost("http://${effect.target}/generate") {
            contentType(ContentType.Application.Json)
            setBody(WireFormat.encodeToString(request))
        }.execute { response -> readGenerated(effect, response, watch) }
    }

    private suspend fun readGenerated(
        effect: LoadEffect.Complete,
        response: HttpResponse,
        watch: Stopwatch,
    ): LoadSample {
        val answer = Answer(version = settings.version.orEmpty())
        val channel = response.bodyAsChannel()
        while (true) {
            val line = channel.readLine() ?: break
            if (line.startsWith(DATA)) {
                val event = WireFormat.decodeFromString<GenerateEvent>(line.removePrefix(DATA))
                answer.add(event.text, ended = event.total != null, watch = watch)
            }
        }
        return answer.sample(effect, watch, prompt = effect.prompt)
    }

    /** An answer as far as it was read. */
    private inner class Answer(val version: String) {
        private val text = StringBuilder()
        private var firstMicroseconds: Long? = null
        private var ended = false

        fun add(piece: String, ended: Boolean, watch: Stopwatch) {
            if (firstMicroseconds == null) firstMicroseconds = watch.elapsedMicroseconds()
            text.append(piece)
            this.ended = this.ended || ended
        }

        fun sample(effect: LoadEffect.Complete, watch: Stopwatch, prompt: String): LoadSample = LoadSample(
            kind = COMPLETION,
            result = result(prompt),
            version = version,
            session = effect.session,
            firstMicroseconds = firstMicroseconds,
            wholeMicroseconds = watch.elapsedMicroseconds(),
        )

        private fun result(prompt: String): String = when {
            !ended -> "cut"
            text.toString() == expected(prompt) -> "whole"
            else -> "wrong"
        }

        private fun expected(prompt: String): String =
            AnswerText.tokens(version, prompt, position = 0, count = AnswerText.length(prompt, settings.maximumTokens))
    }

    private companion object {
        const val COMPLETION = "completion"
        const val COMMAND = "command"
        const val ROLE = "user"
        const val DATA = "data: "
        const val ERROR = "event: error"
        const val DONE = "data: [DONE]"
    }
}

/** Returns the sample of a request that was answered with the error in [body]. */
private fun LoadSample.refused(body: String): LoadSample = try {
    val error = WireFormat.decodeFromString<ErrorResponse>(body).error
    copy(result = error.code, notRun = error.notRun)
} catch (_: IllegalArgumentException) {
    copy(result = "unreadable_error")
}
