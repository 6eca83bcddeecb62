package org.quetzalloom.core.error

/**
 * One error, as a caller is told of it.
 *
 * @property detail what was wrong, in words for the caller.
 */
public data class RouterError(
    public val kind: ErrorKind,
    public val detail: String,
)
