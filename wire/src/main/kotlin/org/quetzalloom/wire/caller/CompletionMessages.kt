package org.quetzalloom.wire.caller

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Names of the HTTP headers of callers' requests and of the router's responses. */
public object CallerHeaders {
    /** Request header: the workspace that the request is made for. Required. */
    public const val WORKSPACE: String = "X-Workspace"

    /** Request header: the request class. The quality of answers is estimated for each class separately. */
    public const val CLASS: String = "X-Request-Class"

    /** Request header: `high`, `normal` (the default) or `low`. */
    public const val PRIORITY: String = "X-Priority"

    /** Request header: the time after which the caller no longer wants the answer, in milliseconds. */
    public const val TIMEOUT: String = "X-Timeout-Milliseconds"

    /** Request header: the session that the request belongs to. */
    public const val SESSION: String = "X-Session"

    /** Response header: a token for later requests of the session. Request header: the token of an earlier response. */
    public const val SESSION_TOKEN: String = "X-Session-Token"

    /** Request header: the idempotency key. Of the requests of a workspace with the same key, at most one is run. */
    public const val KEY: String = "Idempotency-Key"

    /** Response header: the identifier that the router gave to the request. */
    public const val REQUEST: String = "X-Request-Id"

    /** Response header: the model or service version that answered. */
    public const val VERSION: String = "X-Version"
}

/**
 * The request body of `POST /v1/chat/completions`.
 *
 * @property model a model, a version such as `menu-large@3`, or `auto` to let the router choose.
 * @property stream whether to send the answer in chunks, as server-sent events.
 * @property maximumTokens the maximum length of the answer, in tokens.
 */
@Serializable
public data class ChatRequest(
    public val model: String,
    public val messages: List<ChatMessage>,
    public val stream: Boolean = false,
    @SerialName("max_tokens")
    public val maximumTokens: Int = 256,
)

/** One message of a conversation, by the participant named by [role], such as `user` or `assistant`. */
@Serializable
public data class ChatMessage(
    public val role: String,
    public val content: String,
)

/**
 * The response body of a chat completion that is not streamed.
 *
 * @property id the identifier that the router gave to the request.
 * @property model the version that answered.
 */
@Serializable
public data class ChatResponse(
    public val id: String,
    @SerialName("object")
    public val type: String = "chat.completion",
    public val model: String,
    public val choices: List<ChatChoice>,
    public val usage: ChatUsage,
)

/** The answer in a [ChatResponse]; there is always exactly one. */
@Serializable
public data class ChatChoice(
    public val index: Int = 0,
    public val message: ChatMessage,
    @SerialName("finish_reason")
    public val finishReason: String = "stop",
)

/**
 * The usage that a chat completion is billed for.
 *
 * @property completionTokens the number of tokens generated.
 * @property costMicros the price in millionths of the currency unit.
 */
@Serializable
public data class ChatUsage(
    @SerialName("completion_tokens")
    public val completionTokens: Int,
    @SerialName("cost_micros")
    public val costMicros: Long,
)

/**
 * One server-sent event of a streamed chat completion.
 *
 * @property id the identifier that the router gave to the request.
 * @property model the version that answers.
 * @property usage the usage of the whole completion in the last chunk, `null` in all others.
 */
@Serializable
public data class ChatChunk(
    public val id: String,
    @SerialName("object")
    public val type: String = "chat.completion.chunk",
    public val model: String,
    public val choices: List<ChunkChoice>,
    public val usage: ChatUsage? = null,
)

/**
 * The part of the answer in a [ChatChunk].
 *
 * @property finishReason `stop` in the last chunk, `null` in all others.
 */
@Serializable
public data class ChunkChoice(
    public val index: Int = 0,
    public val delta: ChunkDelta,
    @SerialName("finish_reason")
    public val finishReason: String? = null,
)

/** The text that a [ChatChunk] appends to the answer. */
@Serializable
public data class ChunkDelta(public val content: String = "")

/** The response body of every error. */
@Serializable
public data class ErrorResponse(public val error: ErrorBody)

/**
 * A description of an error.
 *
 * @property code the stable name of the kind of error; see [org.quetzalloom.core.error.ErrorKind.code].
 * @property message a description for people.
 * @property notRun whether the request certainly was not run by any backend server.
 * @property retryable whether the same request may succeed later.
 */
@Serializable
public data class ErrorBody(
    public val code: String,
    public val message: String,
    @SerialName("not_run")
    public val notRun: Boolean,
    public val retryable: Boolean,
)
