package org.quetzalloom.tool

/** The exit statuses of the tool, in the order of their numbers, starting with 0. */
internal enum class ExitCode {
    /** The command succeeded. */
    DONE,

    /**
     * The command is not possible in the current state of the fleet, the platform's log could not be read before
     * anything was changed, or some VM did not respond. That VM may have handled the call nevertheless.
     */
    REFUSED,

    /** The arguments or the settings are not valid. */
    BAD_USAGE,

    /** Another change was accepted first, so this one was not. */
    LOST_RACE,

    /** A change was proposed, and the platform's log did not show in time whether it was accepted. */
    UNKNOWN,
    ;

    /** The exit status of the process. */
    val status: Int get() = ordinal
}
