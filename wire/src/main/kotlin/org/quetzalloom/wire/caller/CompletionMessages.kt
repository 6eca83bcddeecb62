package org.quetzalloom.wire.caller

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The names of HTTP headers that callers and the router exchange. */
public object CallerHeaders {
    /** The workspace that the request is made for. */
    public const val WORKSPACE: String = "X-Workspace"

    /** The kind of request for which quality is estimated apart. */
    public const val CLASS: String = "X-Request-Class"

    /** `high`, `normal` or `low`. */
    public const val PRIORITY: String = "X-Priority"

    /** The time for which the caller waits, in milliseconds. */
    public const val TIMEOUT: String = "X-Timeout-Milliseconds"

    /** The session. */
    public const val SESSION: String = "X-Session"

    /** The session token of an earlier answer; also in answers. */
    public const val SESSION_TOKEN: String = "X-Session-Token"

    /** The key under which the request runs at most once. */
    public const val KEY: String = "Idempotency-Key"

    /** The request, as the router names it. In answers. */
    public const val REQUEST: String = "X-Request-Id"

    /** The version that answered. In answers. */
    public const val VERSION: String = "X-Version"
}

/** A chat completion as callers ask for it. */
@Serializable
public data class ChatRequest(
    public val model: String,
    public val messages: List<ChatMessage>,
    public val stream: Boolean = false,
    @SerialName("max_tokens")
    public val maximumTokens: Int = 256,
)

/** One message of a chat. */
@Serializable
public data class ChatMessage(
    public val role: String,
    public val content: String,
)

/** A whole chat completion. */
@Serializable
public data class ChatResponse(
    public val id: String,
    @SerialName("object")
    public val type: String = "chat.completion",
    public val model: String,
    public val choices: List<ChatChoice>,
    public val usage: ChatUsage,
)

/** One answer of a whole chat completion. */
@Serializable
public data class ChatChoice(
    public val index: Int = 0,
    public val message: ChatMessage,
    @SerialName("finish_reason")
    public val finishReason: String = "stop",
)

/** What a completion used. [costMicros] is in millionths of the currency unit. */
@Serializable
public data class ChatUsage(
    @SerialName("completion_tokens")
    public val completionTokens: Int,
    @SerialName("cost_micros")
    public val costMicros: Long,
)

/** One server-sent event of a streamed chat completion. */
@Serializable
public data class ChatChunk(
    public val id: String,
    @SerialName("object")
    public val type: String = "chat.completion.chunk",
    public val model: String,
    public val choices: List<ChunkChoice>,
    public val usage: ChatUsage? = null,
)

/** The choice within a [ChatChunk]. */
@Serializable
public data class ChunkChoice(
    public val index: Int = 0,
    public val delta: ChunkDelta,
    @SerialName("finish_reason")
    public val finishReason: String? = null,
)

/** The text that a [ChatChunk] adds. */
@Serializable
public data class ChunkDelta(public val content: String = "")

/** The body of every error. */
@Serializable
public data class ErrorResponse(public val error: ErrorBody)

/** What was wrong. */
@Serializable
public data class ErrorBody(
    public val code: String,
    public val message: String,
    @SerialName("not_run")
    public val notRun: Boolean,
    public val retryable: Boolean,
)
