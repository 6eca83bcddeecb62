package org.quetzalloom.core.ledger

/** How a call that may not be repeated ended. */
public sealed interface CommandResult {
    /** The service answered with [status] and [body]. */
    public data class Answered(public val status: Int, public val body: String) : CommandResult

    /** The call was sent, and whether it ran is not known. */
    public data object Unknown : CommandResult
}
