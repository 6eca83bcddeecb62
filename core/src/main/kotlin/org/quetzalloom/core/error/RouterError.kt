package org.quetzalloom.core.error

/**
 * An error that a caller is answered with.
 *
 * @property detail a message for the caller.
 */
public data class RouterError(
    public val kind: ErrorKind,
    public val detail: String,
)
