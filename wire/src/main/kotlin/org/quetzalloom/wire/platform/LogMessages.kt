package org.quetzalloom.wire.platform

import kotlinx.serialization.Serializable
import org.quetzalloom.wire.log.RecordDocument

/** Asks the log to append records, all or none. `POST /streams/{stream}`. */
@Serializable
public data class AppendRequest(
    public val stamp: Long,
    public val records: List<RecordDocument>,
)

/** Tells the offset of the first record appended. */
@Serializable
public data class AppendResponse(public val offset: Long)

/** One record as the log keeps it. */
@Serializable
public data class LogEntryDocument(
    public val offset: Long,
    public val stamp: Long,
    public val record: RecordDocument,
)

/** The records from an offset on. `GET /streams/{stream}?from={offset}`. */
@Serializable
public data class ReadResponse(
    public val entries: List<LogEntryDocument>,
    public val next: Long,
    public val earliest: Long,
)
