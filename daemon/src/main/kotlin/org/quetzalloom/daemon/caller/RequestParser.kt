package org.quetzalloom.daemon.caller

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.mapError
import com.github.michaelbull.result.runCatching
import kotlinx.serialization.SerializationException
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.identity.IdempotencyKey
import org.quetzalloom.core.identity.RequestClass
import org.quetzalloom.core.identity.SessionId
import org.quetzalloom.core.identity.WorkspaceId
import org.quetzalloom.core.request.CallerRequest
import org.quetzalloom.core.request.Priority
import org.quetzalloom.core.request.Target
import org.quetzalloom.wire.WireFormat
import org.quetzalloom.wire.caller.CallerHeaders
import org.quetzalloom.wire.caller.ChatRequest

/**
 * Parses HTTP requests of callers into requests of the core.
 *
 * @property defaultTimeoutMilliseconds the timeout of requests whose caller sets none.
 */
internal class RequestParser(private val defaultTimeoutMilliseconds: Long) {
    /**
     * Parses [body], a [ChatRequest] in JSON, into a request for a completion. Fails with [ErrorKind.MALFORMED] if the
     * body or a header is not valid.
     *
     * @param headers returns the value of a header, or `null` if the request does not have it.
     */
    fun parseCompletion(header: (String) -> String?, body: String): Result<CallerRequest, RouterError> = binding {
        val chat = parseChat(body).bind()
        val target = Target.Completion(chat.model, chat.maximumTokens, chat.stream)
        parseRequest(header, target, promptOf(chat)).bind()
    }

    /**
     * Returns a request to call the plain service [target] with [body], which is not parsed. Fails with
     * [ErrorKind.MALFORMED] if a header is not valid.
     *
     * @param headers returns the value of a header, or `null` if the request does not have it.
     */
    fun parseServiceCall(
        header: (String) -> String?,
        target: Target.ServiceCall,
        body: String,
    ): Result<CallerRequest, RouterError> = parseRequest(header, target, body)

    private fun parseChat(body: String): Result<ChatRequest, RouterError> = try {
        val chat = WireFormat.decodeFromString<ChatRequest>(body)
        if (chat.maximumTokens > 0) Ok(chat) else Err(malformed("max_tokens must be above 0"))
    } catch (problem: SerializationException) {
        Err(
            malformed(
                "the body is not a valid chat completion request: ${problem.message.orEmpty().lineSequence().first()}",
            ),
        )
    }

    private fun promptOf(chat: ChatRequest): String = chat.messages.joinToString("\n") { "${it.role}: ${it.content}" }

    private fun parseRequest(
        header: (String) -> String?,
        target: Target,
        body: String,
    ): Result<CallerRequest, RouterError> = binding {
        val workspace = header(CallerHeaders.WORKSPACE)
            ?: Err(malformed("the header ${CallerHeaders.WORKSPACE} is missing")).bind()
        CallerRequest(
            workspace = parseIdentifier(workspace, ::WorkspaceId).bind(),
            target = target,
            timeoutMilliseconds = parseTimeout(header).bind(),
            body = body,
            requestClass = parseOptional(header(CallerHeaders.CLASS), ::RequestClass).bind() ?: RequestClass.DEFAULT,
            priority = parsePriority(header).bind(),
            session = parseOptional(header(CallerHeaders.SESSION), ::SessionId).bind(),
            sessionToken = header(CallerHeaders.SESSION_TOKEN),
            key = parseOptional(header(CallerHeaders.KEY), ::IdempotencyKey).bind(),
        )
    }

    private fun parseTimeout(header: (String) -> String?): Result<Long, RouterError> {
        val text = header(CallerHeaders.TIMEOUT) ?: return Ok(defaultTimeoutMilliseconds)
        val milliseconds = text.toLongOrNull()?.takeIf { it in 1..MAX_TIMEOUT_MILLISECONDS }
        return milliseconds?.let { Ok(it) } ?: Err(
            malformed("${CallerHeaders.TIMEOUT} '$text' is not between 1 and $MAX_TIMEOUT_MILLISECONDS"),
        )
    }

    private fun parsePriority(header: (String) -> String?): Result<Priority, RouterError> {
        val text = header(CallerHeaders.PRIORITY) ?: return Ok(Priority.NORMAL)
        return Priority.parseOrNull(text)?.let { Ok(it) }
            ?: Err(malformed("${CallerHeaders.PRIORITY} '$text' is not one of high, normal and low"))
    }

    private fun <T> parseOptional(text: String?, build: (String) -> T): Result<T?, RouterError> =
        if (text == null) Ok(null) else parseIdentifier(text, build)

    private fun <T> parseIdentifier(text: String, build: (String) -> T): Result<T, RouterError> =
        runCatching { build(text) }.mapError { malformed(it.message.orEmpty()) }

    private fun malformed(detail: String): RouterError = RouterError(ErrorKind.MALFORMED, detail)

    private companion object {
        const val MAX_TIMEOUT_MILLISECONDS = 3_600_000L
    }
}
