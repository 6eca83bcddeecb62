package org.quetzalloom.core.error

/**
 * The closed list of errors that a caller can be answered with.
 *
 * @property code the stable name of the kind in answers and logs.
 * @property status the HTTP status of the answer.
 * @property notRun whether the request certainly reached no backend server, or was refused by it before it ran.
 * @property retryable whether the same request may succeed later.
 */
public enum class ErrorKind(
    public val code: String,
    public val status: Int,
    public val notRun: Boolean,
    public val retryable: Boolean,
) {
    /** The request could not be parsed. */
    MALFORMED("malformed_request", status = 400, notRun = true, retryable = false),

    /** The body is larger than the limit in the settings. */
    TOO_LARGE("body_too_large", status = 413, notRun = true, retryable = false),

    /** The header is larger than the limit in force. */
    HEADER_TOO_LARGE("header_too_large", status = 431, notRun = true, retryable = false),

    /** The request did not come in within the time in force. */
    TOO_SLOW("request_too_slow", status = 408, notRun = true, retryable = true),

    /** The key of the caller is missing or unknown. */
    UNAUTHENTICATED("key_unknown", status = 401, notRun = true, retryable = false),

    /** The workspace is not in the configuration. */
    UNKNOWN_WORKSPACE("unknown_workspace", status = 403, notRun = true, retryable = false),

    /** The model, version or path does not exist. */
    UNKNOWN_TARGET("unknown_target", status = 404, notRun = true, retryable = false),

    /** The workspace may not use the model, version or service, or it is withdrawn. */
    NOT_ALLOWED("version_not_allowed", status = 403, notRun = true, retryable = false),

    /** A call that may not be repeated came without a key. */
    KEY_MISSING("idempotency_key_missing", status = 400, notRun = true, retryable = false),

    /** The key was used before with another body. */
    KEY_REUSED("idempotency_key_reused", status = 422, notRun = true, retryable = false),

    /** The session token is not one that this fleet signed for the workspace. */
    BAD_SESSION_TOKEN("bad_session_token", status = 400, notRun = true, retryable = false),

    /** The request took down two backend servers and is refused everywhere. */
    QUARANTINED("request_quarantined", status = 422, notRun = false, retryable = false),

    /** This VM has no configuration, or has heard neither the log nor a peer for too long. */
    NOT_READY("not_ready", status = 503, notRun = true, retryable = true),

    /** This VM is shutting down. */
    SHUTTING_DOWN("shutting_down", status = 503, notRun = true, retryable = true),

    /** More work waits than can be done in time. */
    OVERLOADED("overloaded", status = 503, notRun = true, retryable = true),

    /** No backend server became free before the deadline. */
    NO_CAPACITY("no_capacity", status = 503, notRun = true, retryable = true),

    /** The platform's log could not be written in time, so a call that may not be repeated was not started. */
    LOG_UNAVAILABLE("log_unavailable", status = 503, notRun = true, retryable = true),

    /** The backend servers that were tried failed, and no more tries are left. */
    BACKEND_FAILED("backend_failed", status = 502, notRun = false, retryable = true),

    /** The deadline passed while the request ran. */
    DEADLINE_EXCEEDED("deadline_exceeded", status = 504, notRun = false, retryable = true),

    /** A call that may not be repeated was started and its outcome is not known; it will not be started again. */
    OUTCOME_UNKNOWN("outcome_unknown", status = 504, notRun = false, retryable = false),
    ;

    public companion object {
        /** Returns the kind whose code is [code], or `null`. */
        public fun parseOrNull(code: String): ErrorKind? = entries.firstOrNull { it.code == code }
    }
}
