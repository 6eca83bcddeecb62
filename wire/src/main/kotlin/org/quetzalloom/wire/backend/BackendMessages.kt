package org.quetzalloom.wire.backend

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Names of the HTTP headers of requests to backend servers and of their responses. */
public object BackendHeaders {
    /** Response header: an identity that the backend server draws anew at each start, so that restarts are noticed. */
    public const val START: String = "X-Start-Identity"

    /** Request header: the fencing number of a call that may run only once. */
    public const val FENCING: String = "X-Fencing-Number"

    /**
     * Request header: the command that the fencing number belongs to. The backend server compares fencing numbers
     * only within one scope.
     */
    public const val FENCING_SCOPE: String = "X-Fencing-Scope"

    /** Response header: present, with any value, if the backend server did not run the request. */
    public const val NOT_RUN: String = "X-Not-Run"

    /** Request header: the identifier of the attempt, which the backend server may log. */
    public const val ATTEMPT: String = "X-Attempt"
}

/**
 * The request body of `POST /generate`. The engine responds with a stream of server-sent events, each a
 * [GenerateEvent].
 *
 * @property priority the urgency of the request, from 0 for the most urgent; see
 *   [org.quetzalloom.core.request.Priority].
 * @property resumeFrom the number of tokens of the answer to skip, because the caller already has them.
 */
@Serializable
public data class GenerateRequest(
    public val version: String,
    public val prompt: String,
    @SerialName("max_tokens")
    public val maximumTokens: Int,
    public val priority: Int,
    @SerialName("resume_from")
    public val resumeFrom: Int = 0,
)

/**
 * One server-sent event of an engine: either the next tokens, or the end of the answer if [total] is present.
 *
 * @property position the number of tokens of the answer before [text], those skipped by
 *   [GenerateRequest.resumeFrom] included.
 * @property tokens the number of tokens in [text].
 * @property total the number of tokens of the whole answer.
 */
@Serializable
public data class GenerateEvent(
    public val position: Int = 0,
    public val tokens: Int = 0,
    public val text: String = "",
    public val total: Int? = null,
)

/**
 * The response body of `GET /load` at a backend server.
 *
 * @property start the identity of the current start; see [BackendHeaders.START].
 * @property running the number of requests that the backend server was running a short time ago; unlike the other
 *   fields, it is not up to date.
 * @property upForMilliseconds the time since the start.
 */
@Serializable
public data class LoadResponse(
    public val start: String,
    public val running: Int,
    @SerialName("up_for_milliseconds")
    public val upForMilliseconds: Long,
)
