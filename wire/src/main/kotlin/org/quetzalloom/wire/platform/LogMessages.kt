package org.quetzalloom.wire.platform

import kotlinx.serialization.Serializable
import org.quetzalloom.wire.log.RecordDocument

/**
 * The request body of `POST /streams/{stream}`: appends all of [records] to the stream, or none of them.
 *
 * @property stamp the counter of the writer's causal stamp.
 */
@Serializable
public data class AppendRequest(
    public val stamp: Long,
    public val records: List<RecordDocument>,
)

/**
 * The response body of a successful append.
 *
 * @property offset the offset of the first record appended.
 */
@Serializable
public data class AppendResponse(public val offset: Long)

/**
 * A log record as it is stored in its stream.
 *
 * @property offset the position in the stream; it rises by one from record to record.
 * @property stamp the counter of the writer's causal stamp at the time of the append.
 */
@Serializable
public data class LogEntryDocument(
    public val offset: Long,
    public val stamp: Long,
    public val record: RecordDocument,
)

/**
 * The response body of `GET /streams/{stream}?from={offset}`: the records from that offset on.
 *
 * @property next the offset to read from next.
 * @property earliest the offset of the oldest record that the log still stores.
 */
@Serializable
public data class ReadResponse(
    public val entries: List<LogEntryDocument>,
    public val next: Long,
    public val earliest: Long,
)
