package org.quetzalloom.core.backend

/**
 * The reason why an attempt of the router in the `daemon` module failed. The router of `core.relay` has its own.
 *
 * @property mayHaveRun whether the request may have reached the backend server and been executed, even in part.
 */
public enum class AttemptFailure(public val mayHaveRun: Boolean) {
    /** The connection could not be established, so no byte of the request was sent. */
    NOT_SENT(mayHaveRun = false),

    /** The backend server answered that it did not run the request. */
    REFUSED(mayHaveRun = false),

    /** The connection broke, the response had an error status, or it could not be parsed. */
    BROKEN(mayHaveRun = true),

    /** A timeout passed without progress, or the answer did not continue where it had to; the router cancelled it. */
    NO_PROGRESS(mayHaveRun = true),
}
