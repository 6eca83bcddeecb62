package org.quetzalloom.core.relay.feed

import org.quetzalloom.core.time.Timestamp

/**
 * How far one feed has been read.
 *
 * @property nextOffset the offset to read from, or `null` to start from the newest record of each key.
 * @property reading whether a read is under way.
 * @property dueAt when the next read may start.
 * @property failures reads that failed since the last that did not.
 * @property readAt when it was last read.
 */
internal data class FeedCursor(
    val nextOffset: Long? = null,
    val reading: Boolean = false,
    val dueAt: Timestamp = Timestamp.EPOCH,
    val failures: Int = 0,
    val readAt: Timestamp? = null,
)
