package org.quetzalloom.wire.backend

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** The names of HTTP headers that backend servers and the router exchange. */
public object BackendHeaders {
    /** The start that the backend server runs since. In answers. */
    public const val START: String = "X-Start-Identity"

    /** The fencing number of an order. In requests. */
    public const val FENCING: String = "X-Fencing-Number"

    /** What the fencing number is compared within: orders of another scope do not count. In requests. */
    public const val FENCING_SCOPE: String = "X-Fencing-Scope"

    /** Present if the backend server did not run the request. In answers. */
    public const val NOT_RUN: String = "X-Not-Run"

    /** The attempt. In requests, for the logs of the backend server. */
    public const val ATTEMPT: String = "X-Attempt"
}

/** Asks an engine to generate. `POST /generate`; the answer is a stream of server-sent events. */
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

/** A server-sent event of an engine: tokens, or the end if [total] is present. */
@Serializable
public data class GenerateEvent(
    public val position: Int = 0,
    public val tokens: Int = 0,
    public val text: String = "",
    public val total: Int? = null,
)

/** The load of a backend server. `GET /load`. [running] lags; the rest is exact. */
@Serializable
public data class LoadResponse(
    public val start: String,
    public val running: Int,
    @SerialName("up_for_milliseconds")
    public val upForMilliseconds: Long,
)
