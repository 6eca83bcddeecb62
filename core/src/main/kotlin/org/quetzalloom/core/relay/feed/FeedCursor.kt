package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.time.Timestamp

/**
 * The position up to which a feed has been read, and the schedule of its reads.
 *
 * @property nextOffset the offset to read from, or `null` to read a snapshot: the newest record of each key.
 * @property reading whether a read is under way.
 * @property dueAt the earliest time of the next read.
 * @property failures the number of failed reads since the last successful one.
 * @property readAt when the feed was last read, or `null` before the first time.
 */
internal data class FeedCursor(
    val nextOffset: Long? = null,
    val reading: Boolean = false,
    val dueAt: Timestamp = Timestamp.EPOCH,
    val failures: Int = 0,
    val readAt: Timestamp? = null,
)
