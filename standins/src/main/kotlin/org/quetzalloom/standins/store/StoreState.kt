package org.quetzalloom.standins.store

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Timestamp

/**
 * A record of a keyed topic.
 *
 * @property value the value, with one character per byte; `null` if the record removes the key.
 */
data class StoredRecord(val offset: Long, val key: String, val value: String?)

/**
 * A topic with one partition.
 *
 * @property records the records that can be read by offset, oldest first.
 * @property firstOffset the lowest offset that can be read; equal to [endOffset] if there are no records.
 * @property endOffset the offset of the next record.
 * @property newestByKey the newest record of each key. These are never discarded.
 */
data class StoredTopic(
    val records: PersistentList<StoredRecord> = persistentListOf(),
    val firstOffset: Long = 0,
    val endOffset: Long = 0,
    val newestByKey: PersistentMap<String, StoredRecord> = persistentMapOf(),
)

/** A read of [topic] that waits until [dueAt] for the record at [offset]. */
data class WaitingRead(val exchangeId: String, val topic: String, val offset: Long, val dueAt: Timestamp)

/** The fault to simulate. */
enum class StoreFault {
    /** No fault. */
    NONE,

    /** The store rejects each call with status 503, without executing it. */
    REFUSES,

    /** The store executes each call, then closes the connection without responding. Reads do not wait for a record. */
    LOSES_ANSWERS,
}

/**
 * The state of the store.
 *
 * @property topics the topics, by name. A topic comes into existence with its first record.
 * @property waitingReads the reads that wait for a record.
 * @property members the members of the group, in the order of joining.
 * @property generation the number of times that the group has changed.
 * @property copiedTopics the topics as they were when the last copy was taken.
 * @property era the number of times that the store has returned to a copy, from 1.
 */
data class StoreState(
    val topics: PersistentMap<String, StoredTopic> = persistentMapOf(),
    val waitingReads: PersistentList<WaitingRead> = persistentListOf(),
    val members: PersistentList<String> = persistentListOf(),
    val generation: Long = 0,
    val fault: StoreFault = StoreFault.NONE,
    val copiedTopics: PersistentMap<String, StoredTopic> = persistentMapOf(),
    val era: Long = 1,
)
