package org.quetzalloom.core.log

/**
 * A record read from the log, with its offset.
 *
 * @property offset the position of the record in its stream; increases by one from record to record.
 * @property stamp the counter of the causal stamp of the writer at the time of the append.
 */
public data class LogEntry(
    public val offset: Long,
    public val stamp: Long,
    public val record: LogRecord,
)
