package org.quetzalloom.core.error

/**
 * The errors that a caller can be answered with.
 *
 * @property code the stable name of the error in answers and logs.
 * @property status the HTTP status of the answer.
 * @property notRun whether it is certain that no backend server ran the request.
 * @property retryable whether the same request may succeed if it is sent again later.
 */
public enum class ErrorKind(
    public val code: String,
    public val status: Int,
    public val notRun: Boolean,
    public val retryable: Boolean,
) {
    /** The request is malformed. */
    MALFORMED("malformed_request", status = 400, notRun = true, retryable = false),

    /** The body is larger than the configured limit. */
    TOO_LARGE("body_too_large", status = 413, notRun = true, retryable = false),

    /** The header is larger than the configured limit. */
    HEADER_TOO_LARGE("header_too_large", status = 431, notRun = true, retryable = false),

    /** The header or the body did not arrive within the configured time. */
    TOO_SLOW("request_too_slow", status = 408, notRun = true, retryable = true),

    /** The API key of the caller is missing or unknown. */
    UNAUTHENTICATED("key_unknown", status = 401, notRun = true, retryable = false),

    /** The workspace does not exist. */
    UNKNOWN_WORKSPACE("unknown_workspace", status = 403, notRun = true, retryable = false),

    /** The model, version or path does not exist. */
    UNKNOWN_TARGET("unknown_target", status = 404, notRun = true, retryable = false),

    /** The workspace may use no version of the model or service, or those that it may use are withdrawn. */
    NOT_ALLOWED("version_not_allowed", status = 403, notRun = true, retryable = false),

    /** A call that may run at most once came without an idempotency key. */
    KEY_MISSING("idempotency_key_missing", status = 400, notRun = true, retryable = false),

    /** The idempotency key was used before with another request. */
    KEY_REUSED("idempotency_key_reused", status = 422, notRun = true, retryable = false),

    /** The session token was not signed by this fleet for the workspace and session of the request. */
    BAD_SESSION_TOKEN("bad_session_token", status = 400, notRun = true, retryable = false),

    /** Two backend servers went down while they ran the request; the whole fleet refuses it. */
    QUARANTINED("request_quarantined", status = 422, notRun = false, retryable = false),

    /** Backend servers crashed under requests with the same content, so this one was not sent. */
    CONTENT_QUARANTINED("content_quarantined", status = 503, notRun = true, retryable = true),

    /** This VM has no configuration, or it has not heard from the log or a peer for too long. */
    NOT_READY("not_ready", status = 503, notRun = true, retryable = true),

    /** This VM is shutting down. */
    SHUTTING_DOWN("shutting_down", status = 503, notRun = true, retryable = true),

    /** Too many requests are active to admit one of this priority. */
    OVERLOADED("overloaded", status = 503, notRun = true, retryable = true),

    /** No backend server could take the request in time. */
    NO_CAPACITY("no_capacity", status = 503, notRun = true, retryable = true),

    /** The intent of a call that may run at most once could not be logged in time, so the call was not sent. */
    LOG_UNAVAILABLE("log_unavailable", status = 503, notRun = true, retryable = true),

    /**
     * The attempts failed, and no more may be made for the request or within the retry budget. Or its version may no
     * longer be used, and part of the answer has been sent.
     */
    BACKEND_FAILED("backend_failed", status = 502, notRun = false, retryable = true),

    /** The deadline passed, or the router stopped, while the request was running or between two attempts. */
    DEADLINE_EXCEEDED("deadline_exceeded", status = 504, notRun = false, retryable = true),

    /** A call that may run at most once was sent and its outcome is not known; it will not be sent again. */
    OUTCOME_UNKNOWN("outcome_unknown", status = 504, notRun = false, retryable = false),
    ;

    public companion object {
        /** Returns the error whose code is [code], or `null` if there is none. */
        public fun parseOrNull(code: String): ErrorKind? = entries.firstOrNull { it.code == code }
    }
}
