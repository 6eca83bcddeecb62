package org.quetzalloom.tool

/** The exit statuses of the tool, in the order of their numbers, starting with 0. */
internal enum class ExitCode {
    /** The command succeeded. */
    DONE,

    /**
     * The command is not possible in the current state of the fleet, some VM could not be reached, or the platform's
     * log could not be read before anything was changed.
     */
    REFUSED,

    /** The arguments or the settings are not valid. */
    BAD_USAGE,

    /** Another change was accepted first, so this one was not. */
    LOST_RACE,

    /** No response from the platform's log arrived in time, so it is not known whether the change was accepted. */
    UNKNOWN,
    ;

    /** The exit status of the process. */
    val status: Int get() = ordinal
}
