package org.quetzalloom.standins.store

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Timestamp

/**
 * A record of a keyed topic.
 *
 * @property value one character a byte; `null` where the key has been removed.
 */
data class StoredRecord(val offset: Long, val key: String, val value: String?)

/**
 * A topic with one partition.
 *
 * @property first the offset of the oldest record that can still be read.
 * @property newest the newest record of each key; kept for good.
 */
data class StoredTopic(
    val records: PersistentList<StoredRecord> = persistentListOf(),
    val firstOffset: Long = 0,
    val endOffset: Long = 0,
    val newestByKey: PersistentMap<String, StoredRecord> = persistentMapOf(),
)

/** A read that waits for a record until [dueAt]. */
data class WaitingRead(val exchangeId: String, val topic: String, val offset: Long, val dueAt: Timestamp)

/** How the store behaves. */
enum class StoreFault {
    /** It answers. */
    NONE,

    /** It refuses each call with 503. */
    REFUSES,

    /** It closes the connection of each call; what was asked for is done all the same. */
    LOSES_ANSWERS,
}

/** All that the store keeps. */
data class StoreState(
    val topics: PersistentMap<String, StoredTopic> = persistentMapOf(),
    val waitingReads: PersistentList<WaitingRead> = persistentListOf(),
    val members: PersistentList<String> = persistentListOf(),
    val generation: Long = 0,
    val fault: StoreFault = StoreFault.NONE,
)
