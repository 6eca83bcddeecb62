package org.quetzalloom.core.log

/** The streams of the platform's log that the router uses. */
public enum class LogStream {
    /** Proposed changes and snapshots of the configuration. */
    CONFIGURATION,

    /** Intents, outcomes and releases of calls that may run at most once. */
    COMMANDS,

    /** Bills. */
    BILLS,
}
