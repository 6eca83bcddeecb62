package org.quetzalloom.core.log

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.time.Timestamp

/**
 * The records that this VM has yet to append to a stream.
 *
 * @property queue the records that wait for the next append, oldest first.
 * @property append the number of the append in flight, or `null`.
 * @property inFlight the records of the append in flight.
 * @property dueAt the earliest time of the next append.
 */
internal data class StreamWriter(
    val queue: PersistentList<LogRecord> = persistentListOf(),
    val append: Long? = null,
    val inFlight: PersistentList<LogRecord> = persistentListOf(),
    val dueAt: Timestamp = Timestamp.EPOCH,
) {
    /** Whether no record is queued and no append is in flight. */
    val idle: Boolean get() = queue.isEmpty() && append == null
}
