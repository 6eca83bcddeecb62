package org.quetzalloom.tool

/** What the exit status of the tool means; the order is that of the numbers, from 0. */
internal enum class ExitCode {
    /** Done. */
    DONE,

    /** The order makes no sense in the state that the fleet is in, or some VM could not be reached. */
    REFUSED,

    /** The arguments or the settings are wrong. */
    BAD_USAGE,

    /** Another operator's change came first. */
    LOST_RACE,

    /** The platform's log could not be reached, and whether the change was accepted is not known. */
    UNKNOWN,
    ;

    /** The number that the shell sees. */
    val status: Int get() = ordinal
}
