package org.quetzalloom.daemon.backend

import io.ktor.client.HttpClient
import io.ktor.client.request.header
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.http.ContentType
import io.ktor.http.contentType
import io.ktor.http.isSuccess
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLine
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.serialization.encodeToString
import org.quetzalloom.core.backend.AttemptFailure
import org.quetzalloom.core.backend.AttemptOrder
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.request.Target
import org.quetzalloom.daemon.RouterLoop
import org.quetzalloom.daemon.client.InvalidResponseException
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.backend.BackendHeaders
import org.quetzalloom.wire.backend.GenerateEvent
import org.quetzalloom.wire.backend.GenerateRequest

/**
 * An attempt to run a completion at a model engine, which streams its answer as server-sent events.
 *
 * A response with an error status fails the attempt, see [failureOf].
 */
internal class EngineCall(
    private val client: HttpClient,
    private val order: AttemptOrder,
    private val loop: RouterLoop,
) : BackendCall {
    override suspend fun run(): Event.OfBackend = client.preparePost("http://${order.address}/generate") {
        contentType(ContentType.Application.Json)
        header(BackendHeaders.ATTEMPT, order.attempt.value)
        setBody(WireFormat.encodeToString(generateRequest()))
    }.execute { readResponse(it) }

    private fun generateRequest(): GenerateRequest {
        val target = order.target as Target.Completion
        return GenerateRequest(
            version = order.version.value,
            prompt = order.body,
            maximumTokens = target.maximumTokens,
            priority = order.priority.ordinal,
            resumeFrom = order.resumeFrom,
        )
    }

    private suspend fun readResponse(response: HttpResponse): Event.OfBackend {
        if (!response.status.isSuccess()) return failureOf(order, notRun = BackendHeaders.NOT_RUN in response.headers)
        acceptedOrNull(order, response.headers[BackendHeaders.START])?.let { loop.post(it) }
        val total = readTokens(response.bodyAsChannel())
        return if (total == null) {
            Event.OfBackend.Failed(order.attempt, AttemptFailure.BROKEN)
        } else {
            Event.OfBackend.Finished(order.attempt, total, response.status.value)
        }
    }

    /**
     * Posts tokens as they arrive. Returns the number of tokens of the whole answer, or `null` if the stream ends
     * before the engine has reported it.
     *
     * @throws InvalidResponseException if the tokens do not follow one another, or a line is not part of an event
     *   stream: the engine has begun another response on the same connection.
     */
    private suspend fun readTokens(channel: ByteReadChannel): Int? {
        var expectedPosition: Int? = null
        while (true) {
            val line = channel.readLine() ?: return null
            if (!isEventLine(line)) throw InvalidResponseException("a line is not part of an event stream")
            val event = line.takeIf { it.startsWith(DATA_PREFIX) }?.let { parseEvent(it) }
            if (event?.total != null) return event.total
            if (event != null) {
                if (event.position != (expectedPosition ?: event.position)) {
                    throw InvalidResponseException("position ${event.position} follows instead of $expectedPosition")
                }
                expectedPosition = event.position + event.tokens
                loop.post(Event.OfBackend.ChunkReceived(order.attempt, event.position, event.tokens, event.text))
            }
        }
    }

    private fun parseEvent(line: String): GenerateEvent = WireFormat.decodeFromString(line.removePrefix(DATA_PREFIX))

    /** Returns whether [line] is an empty line, a comment or a field of a server-sent event. */
    private fun isEventLine(line: String): Boolean =
        line.isEmpty() || line.startsWith(':') || line.substringBefore(':') in EVENT_FIELDS

    private companion object {
        val EVENT_FIELDS = persistentSetOf("data", "event", "id", "retry")
        const val DATA_PREFIX = "data: "
    }
}

/**
 * Returns the event that [order] was accepted by the backend server with the identity [start], or `null` if that is
 * not known.
 *
 * @throws IllegalArgumentException if the start identity is not a valid identifier.
 */
internal fun acceptedOrNull(order: AttemptOrder, start: String?): Event.OfBackend.Accepted? =
    start?.let { Event.OfBackend.Accepted(order.attempt, StartIdentity(it)) }

/**
 * Returns the failure of [order]: [AttemptFailure.REFUSED] if the backend server states that it did not run the
 * request, else [AttemptFailure.BROKEN].
 */
internal fun failureOf(order: AttemptOrder, notRun: Boolean): Event.OfBackend.Failed =
    Event.OfBackend.Failed(order.attempt, if (notRun) AttemptFailure.REFUSED else AttemptFailure.BROKEN)
