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

/** Writes the answer of one request to its caller. */
internal class AnswerWriter(
    private val call: ApplicationCall,
    private val id: RequestId,
    private val target: Target,
) {
    /** Writes everything that comes from [answers]; returns when the answer has ended. */
    suspend fun write(answers: ReceiveChannel<Effect.OfCaller>) {
        when (val first = answers.receive()) {
            is Effect.OfCaller.Refuse -> ErrorWriter.write(call, first.error)
            is Effect.OfCaller.Begin -> begun(first, answers)
            is Effect.OfCaller.Piece, is Effect.OfCaller.End -> error("an answer must begin before it goes on")
        }
    }

    private suspend fun begun(begin: Effect.OfCaller.Begin, answers: ReceiveChannel<Effect.OfCaller>) {
        call.response.header(CallerHeaders.VERSION, begin.version.value)
        begin.sessionToken?.let { call.response.header(CallerHeaders.SESSION_TOKEN, it) }
        if ((target as? Target.Completion)?.streamed == true) {
            call.respondBytesWriter(ContentType.Text.EventStream) { stream(this, begin, answers) }
        } else {
            respondWhole(begin, answers)
        }
    }

    private suspend fun stream(
        channel: ByteWriteChannel,
        begin: Effect.OfCaller.Begin,
        answers: ReceiveChannel<Effect.OfCaller>,
    ) {
        for (answer in answers) {
            channel.writeStringUtf8(format(answer, begin))
            channel.flush()
        }
    }

    private fun format(answer: Effect.OfCaller, begin: Effect.OfCaller.Begin): String = when (answer) {
        is Effect.OfCaller.Begin -> ""
        is Effect.OfCaller.Piece -> event(piece(begin, ChunkChoice(delta = ChunkDelta(answer.text))))
        is Effect.OfCaller.End -> event(
            piece(begin, ChunkChoice(delta = ChunkDelta(), finishReason = "stop"))
                .copy(usage = ChatUsage(answer.tokens, answer.costMicros)),
        ) + "data: [DONE]\n\n"
        is Effect.OfCaller.Refuse -> "event: error\ndata: ${ErrorWriter.format(answer.error)}\n\n"
    }

    private fun piece(begin: Effect.OfCaller.Begin, choice: ChunkChoice): ChatChunk =
        ChatChunk(id = id.value, model = begin.version.value, choices = listOf(choice))

    private fun event(piece: ChatChunk): String = "data: ${WireFormat.encodeToString(piece)}\n\n"

    private suspend fun respondWhole(begin: Effect.OfCaller.Begin, answers: ReceiveChannel<Effect.OfCaller>) {
        val text = StringBuilder()
        for (answer in answers) {
            when (answer) {
                is Effect.OfCaller.Begin -> Unit
                is Effect.OfCaller.Piece -> text.append(answer.text)
                is Effect.OfCaller.Refuse -> ErrorWriter.write(call, answer.error)
                is Effect.OfCaller.End -> respondEnd(begin, text.toString(), answer)
            }
        }
    }

    private suspend fun respondEnd(begin: Effect.OfCaller.Begin, text: String, end: Effect.OfCaller.End) {
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
