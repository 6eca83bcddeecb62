package org.quetzalloom.core.configuration

/** One record of the configuration stream of the platform's log. */
public sealed interface ConfigurationRecord {
    /**
     * A change that was decided in sight of revision [base]. It takes effect if it is the first in the log
     * to build on that revision.
     *
     * @property author who made the change.
     */
    public data class Proposed(
        public val base: Long,
        public val author: String,
        public val change: ConfigurationChange,
    ) : ConfigurationRecord

    /** The state at some revision, put back so that it outlives the records that led to it. Changes nothing. */
    public data class Snapshot(public val configuration: Configuration) : ConfigurationRecord
}
