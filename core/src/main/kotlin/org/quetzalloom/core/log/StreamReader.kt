package org.quetzalloom.core.log

import org.quetzalloom.core.time.Timestamp

/**
 * The position of this VM in a stream, and its next read.
 *
 * @property nextOffset the offset to read from next.
 * @property reading whether a read is in flight.
 * @property readAgain whether this VM has appended to the stream since its last read completed, so that the next read
 *   follows without delay.
 * @property dueAt when the next read is due, unless one is in flight.
 */
internal data class StreamReader(
    val nextOffset: Long = 0,
    val reading: Boolean = false,
    val readAgain: Boolean = false,
    val dueAt: Timestamp = Timestamp.EPOCH,
)
