package org.quetzalloom.core.log

import org.quetzalloom.core.time.Timestamp

/**
 * How far a stream was read.
 *
 * @property nextOffset the offset to read from.
 * @property reading whether a read is under way.
 * @property readAgain whether something was appended since that read began, so that another is due at its end.
 * @property dueAt when to read next.
 */
internal data class StreamReader(
    val nextOffset: Long = 0,
    val reading: Boolean = false,
    val readAgain: Boolean = false,
    val dueAt: Timestamp = Timestamp.EPOCH,
)
