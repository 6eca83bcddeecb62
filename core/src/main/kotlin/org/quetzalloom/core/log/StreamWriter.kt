package org.quetzalloom.core.log

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.time.Timestamp

/**
 * What is to be appended to a stream.
 *
 * @property queue records that wait.
 * @property append the number of the append under way, or `null`.
 * @property inFlight its records.
 * @property dueAt the earliest time of the next append.
 */
internal data class StreamWriter(
    val queue: PersistentList<LogRecord> = persistentListOf(),
    val append: Long? = null,
    val inFlight: PersistentList<LogRecord> = persistentListOf(),
    val dueAt: Timestamp = Timestamp.EPOCH,
) {
    val idle: Boolean get() = queue.isEmpty() && append == null
}
