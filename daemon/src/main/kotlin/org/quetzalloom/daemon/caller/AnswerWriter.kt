package org.quetzalloom.daemon.caller

import io.ktor.http.ContentType
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.request.Target
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.caller.CallerHeaders
import org.quetzalloom.wire.caller.ChatChoice
import org.quetzalloom.wire.caller.ChatChunk
import org.quetzalloom.wire.caller.ChatMessage
import org.quetzalloom.wire.caller.ChatResponse
import org.quetzalloom.wire.caller.ChatUsage
import org.quetzalloom.wire.caller.ChunkChoice
import org.quetzalloom.wire.caller.ChunkDelta

/**
 * Writes the answer of one request to its caller: as server-sent events if the caller asked for a stream, else as one
 * response once the answer is complete.
 */
internal class AnswerWriter(
    private val call: ApplicationCall,
    private val id: RequestId,
    private val target: Target,
) {
    /**
     * Writes the answer that arrives from [parts]; returns when it has ended.
     *
     * If the request fails after [Effect.OfCaller.Begin], a streamed answer ends with an `error` event, since the HTTP
     * status has been sent by then. Any other answer is replaced by the error.
     *
     * @throws kotlinx.io.IOException if the caller has closed the connection.
     * @throws IllegalStateException if the first part is neither [Effect.OfCaller.Begin] nor [Effect.OfCaller.Refuse].
     */
    suspend fun write(parts: ReceiveChannel<Effect.OfCaller>) {
        when (val first = parts.receive()) {
            is Effect.OfCaller.Refuse -> ErrorWriter.write(call, first.error)
            is Effect.OfCaller.Begin -> writeAnswer(first, parts)
            is Effect.OfCaller.Chunk, is Effect.OfCaller.End -> error("an answer must start with Begin or Refuse")
        }
    }

    private suspend fun writeAnswer(begin: Effect.OfCaller.Begin, parts: ReceiveChannel<Effect.OfCaller>) {
        call.response.header(CallerHeaders.VERSION, begin.version.value)
        begin.sessionToken?.let { call.response.header(CallerHeaders.SESSION_TOKEN, it) }
        if ((target as? Target.Completion)?.streamed == true) {
            call.respondBytesWriter(ContentType.Text.EventStream) { writeStreamed(this, begin, parts) }
        } else {
            writeBuffered(begin, parts)
        }
    }

    private suspend fun writeStreamed(
        channel: ByteWriteChannel,
        begin: Effect.OfCaller.Begin,
        parts: ReceiveChannel<Effect.OfCaller>,
    ) {
        for (part in parts) {
            channel.writeStringUtf8(formatPart(part, begin))
            channel.flush()
        }
    }

    private fun formatPart(part: Effect.OfCaller, begin: Effect.OfCaller.Begin): String = when (part) {
        is Effect.OfCaller.Begin -> ""
        is Effect.OfCaller.Chunk -> formatEvent(chunk(begin, ChunkChoice(delta = ChunkDelta(part.text))))
        is Effect.OfCaller.End -> formatEvent(
            chunk(begin, ChunkChoice(delta = ChunkDelta(), finishReason = "stop"))
                .copy(usage = ChatUsage(part.tokens, part.costMicros)),
        ) + "data: [DONE]\n\n"
        is Effect.OfCaller.Refuse -> "event: error\ndata: ${ErrorWriter.format(part.error)}\n\n"
    }

    private fun chunk(begin: Effect.OfCaller.Begin, choice: ChunkChoice): ChatChunk =
        ChatChunk(id = id.value, model = begin.version.value, choices = listOf(choice))

    private fun formatEvent(chunk: ChatChunk): String = "data: ${WireFormat.encodeToString(chunk)}\n\n"

    private suspend fun writeBuffered(begin: Effect.OfCaller.Begin, parts: ReceiveChannel<Effect.OfCaller>) {
        val text = StringBuilder()
        for (part in parts) {
            when (part) {
                is Effect.OfCaller.Begin -> Unit
                is Effect.OfCaller.Chunk -> text.append(part.text)
                is Effect.OfCaller.Refuse -> ErrorWriter.write(call, part.error)
                is Effect.OfCaller.End -> respondComplete(begin, text.toString(), part)
            }
        }
    }

    private suspend fun respondComplete(begin: Effect.OfCaller.Begin, text: String, end: Effect.OfCaller.End) {
        if (target is Target.ServiceCall) {
            call.respondText(text, ContentType.Application.Json, statusOf(end.status))
            return
        }
        val response = ChatResponse(
            id = id.value,
            model = begin.version.value,
            choices = listOf(ChatChoice(message = ChatMessage(role = "assistant", content = text))),
            usage = ChatUsage(end.tokens, end.costMicros),
        )
        call.respondText(WireFormat.encodeToString(response), ContentType.Application.Json)
    }
}
