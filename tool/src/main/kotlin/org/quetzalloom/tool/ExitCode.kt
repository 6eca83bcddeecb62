package org.quetzalloom.tool

/**
 * What the exit status of the tool means.
 *
 * @property status the number that the shell sees.
 */
internal enum class ExitCode(val status: Int) {
    /** Done. */
    DONE(0),

    /** The order makes no sense in the state that the fleet is in, or some VM could not be reached. */
    REFUSED(1),

    /** The arguments or the settings are wrong. */
    BAD_USAGE(2),

    /** Another operator's change came first. */
    LOST_RACE(3),

    /** The platform's log could not be reached, and whether the change was accepted is not known. */
    UNKNOWN(4),
}
