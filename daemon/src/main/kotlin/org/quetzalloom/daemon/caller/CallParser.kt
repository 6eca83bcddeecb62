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
 * Turns HTTP requests into requests of the core.
 *
 * @property defaultTimeoutMilliseconds the timeout of a request whose caller names none.
 */
internal class CallParser(private val defaultTimeoutMilliseconds: Long) {
    /** Returns the completion that [body] asks for. */
    fun completion(headers: (String) -> String?, body: String): Result<CallerRequest, RouterError> = binding {
        val chat = chat(body).bind()
        val target = Target.Completion(chat.model, chat.maximumTokens, chat.stream)
        call(headers, target, prompt(chat)).bind()
    }

    /** Returns the call of a plain service. */
    fun service(
        headers: (String) -> String?,
        target: Target.ServiceCall,
        body: String,
    ): Result<CallerRequest, RouterError> = call(headers, target, body)

    private fun chat(body: String): Result<ChatRequest, RouterError> = try {
        val chat = WireFormat.decodeFromString<ChatRequest>(body)
        if (chat.maximumTokens > 0) Ok(chat) else Err(malformed("max_tokens must be above 0"))
    } catch (problem: SerializationException) {
        Err(malformed("the body is not a chat completion: ${problem.message.orEmpty().lineSequence().first()}"))
    }

    private fun prompt(chat: ChatRequest): String = chat.messages.joinToString("\n") { "${it.role}: ${it.content}" }

    private fun call(
        headers: (String) -> String?,
        target: Target,
        body: String,
    ): Result<CallerRequest, RouterError> = binding {
        val workspace = headers(CallerHeaders.WORKSPACE)
            ?: Err(malformed("the header ${CallerHeaders.WORKSPACE} is missing")).bind()
        CallerRequest(
            workspace = identifier(workspace, ::WorkspaceId).bind(),
            target = target,
            timeoutMilliseconds = timeout(headers).bind(),
            body = body,
            requestClass = optional(headers(CallerHeaders.CLASS), ::RequestClass).bind() ?: RequestClass.DEFAULT,
            priority = priority(headers).bind(),
            session = optional(headers(CallerHeaders.SESSION), ::SessionId).bind(),
            sessionToken = headers(CallerHeaders.SESSION_TOKEN),
            key = optional(headers(CallerHeaders.KEY), ::IdempotencyKey).bind(),
        )
    }

    private fun timeout(headers: (String) -> String?): Result<Long, RouterError> {
        val text = headers(CallerHeaders.TIMEOUT) ?: return Ok(defaultTimeoutMilliseconds)
        val milliseconds = text.toLongOrNull()?.takeIf { it in 1..LONGEST_TIMEOUT_MILLISECONDS }
        return milliseconds?.let { Ok(it) } ?: Err(
            malformed("${CallerHeaders.TIMEOUT} '$text' is not within 1 and $LONGEST_TIMEOUT_MILLISECONDS"),
        )
    }

    private fun priority(headers: (String) -> String?): Result<Priority, RouterError> {
        val text = headers(CallerHeaders.PRIORITY) ?: return Ok(Priority.NORMAL)
        return Priority.parseOrNull(text)?.let { Ok(it) }
            ?: Err(malformed("${CallerHeaders.PRIORITY} '$text' is none of high, normal and low"))
    }

    private fun <T> optional(text: String?, build: (String) -> T): Result<T?, RouterError> =
        if (text == null) Ok(null) else identifier(text, build)

    private fun <T> identifier(text: String, build: (String) -> T): Result<T, RouterError> =
        runCatching { build(text) }.mapError { malformed(it.message.orEmpty()) }

    private fun malformed(detail: String): RouterError = RouterError(ErrorKind.MALFORMED, detail)

    private companion object {
        const val LONGEST_TIMEOUT_MILLISECONDS = 3_600_000L
    }
}
