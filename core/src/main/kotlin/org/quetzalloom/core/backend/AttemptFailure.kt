package org.quetzalloom.core.backend

/**
 * Why an attempt failed.
 *
 * @property mayHaveRun whether some of the request may have reached the backend server and been run.
 */
public enum class AttemptFailure(public val mayHaveRun: Boolean) {
    /** No connection could be made, so no byte was sent. */
    NOT_SENT(mayHaveRun = false),

    /** The backend server said that it did not run the request. */
    REFUSED(mayHaveRun = false),

    /** The connection broke, or the answer made no sense. */
    BROKEN(mayHaveRun = true),

    /** Nothing came for too long. */
    NO_PROGRESS(mayHaveRun = true),
}
