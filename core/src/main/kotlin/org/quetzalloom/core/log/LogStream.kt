package org.quetzalloom.core.log

/** The streams of the platform's log that the router uses. */
public enum class LogStream {
    /** Changes of the configuration, and snapshots of it. */
    CONFIGURATION,

    /** Intents, outcomes and releases of calls that may not be repeated. */
    COMMANDS,

    /** Bills. */
    BILLS,
}
