package org.quetzalloom.core.log

/**
 * A record as read from the log.
 *
 * @property offset the place of the record in its stream; rises by one.
 * @property stamp the causal stamp of the writer at the time of the append.
 */
public data class LogEntry(
    public val offset: Long,
    public val stamp: Long,
    public val record: LogRecord,
)
