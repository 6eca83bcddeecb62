package org.quetzalloom.core.ledger

/** The outcome of a call that must not be repeated. */
public sealed interface CommandResult {
    /** The service answered with the HTTP status [status] and the text [body]. */
    public data class Answered(public val status: Int, public val body: String) : CommandResult

    /** The call was sent, but it is not known whether it ran. */
    public data object Unknown : CommandResult
}
