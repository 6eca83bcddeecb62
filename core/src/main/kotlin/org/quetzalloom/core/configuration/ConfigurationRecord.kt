package org.quetzalloom.core.configuration

/** A record of the configuration stream in the platform's log. */
public sealed interface ConfigurationRecord {
    /**
     * A change that was made on the basis of revision [base]. It takes effect if it is the first valid one in the log
     * with that base.
     *
     * @property author the operator or VM that made the change.
     */
    public data class Proposed(
        public val base: Long,
        public val author: String,
        public val change: ConfigurationChange,
    ) : ConfigurationRecord

    /**
     * The [configuration] at its revision, appended so that it stays readable after the log has expired the records
     * that led to it. Does not change the configuration.
     */
    public data class Snapshot(public val configuration: Configuration) : ConfigurationRecord
}
