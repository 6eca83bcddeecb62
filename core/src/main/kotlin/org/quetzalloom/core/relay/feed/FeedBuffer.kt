package org.quetzalloom.core.relay.feed

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList

/**
 * The records of a feed from which a router answers others.
 *
 * A record that repeats what the one before of its key says is left out, which most records of backend servers do.
 *
 * @property newest the newest record of each key.
 * @property changes the last records in the order of their offsets, removals included; at most [MAXIMUM_CHANGES].
 * @property changesFrom the offset from which [changes] is complete.
 * @property end the offset after the last record read.
 * @property skipped the offsets from which [changes] is not complete, as a snapshot was read in place of the records
 *   around them.
 */
internal data class FeedBuffer(
    val newest: PersistentMap<String, FeedRecord>,
    val changes: PersistentList<FeedRecord>,
    val changesFrom: Long,
    val end: Long,
    val skipped: PersistentList<LongRange> = persistentListOf(),
) {
    /** Returns the buffer after [records] and everything else before [nextOffset] were read. Never goes backwards. */
    fun append(records: List<FeedRecord>, nextOffset: Long): FeedBuffer {
        val appended = records.filter { it.offset >= end }.fold(this) { buffer, record -> buffer.append(record) }
        return appended.copy(end = maxOf(end, nextOffset)).trim()
    }

    /**
     * Returns the buffer after a snapshot with [records] was read, which reflects all records before [nextOffset]. What
     * differs counts as changed just before that offset, so that others get the changes rather than the snapshot. One
     * that has read more than this buffer had may know what has changed back, and gets the snapshot.
     */
    fun advance(records: List<FeedRecord>, nextOffset: Long): FeedBuffer {
        val snapshot = of(records, nextOffset).newest
        val changed = snapshot.values.filter { record -> newest[record.key]?.let { !record.says(it) } ?: true }
        val removed = newest.values.filter { it.key !in snapshot }.map { it.copy(content = null, entry = it.removal()) }
        val differences = (changed + removed).map { it.copy(offset = nextOffset - 1) }
        return copy(
            newest = snapshot,
            changes = changes.addAll(differences),
            end = nextOffset,
            skipped = skipped.add(end + 1 until nextOffset),
        ).trim()
    }

    /** Returns whether a reader that has read up to [from] lacks records; `null` is one that has read nothing. */
    fun hasNews(from: Long?): Boolean =
        needsSnapshot(from) || changes.lastOrNull()?.let { from != null && it.offset >= from } ?: false

    /** Returns whether one that has read up to [from] needs the newest record of each key. */
    fun needsSnapshot(from: Long?): Boolean = from == null || from < changesFrom || skipped.any { from in it }

    /** Returns the records that one that has read up to [from] lacks. */
    fun since(from: Long?): List<FeedRecord> = when {
        from == null || needsSnapshot(from) -> newest.values.sortedBy { it.offset }
        else -> changes.takeLastWhile { it.offset >= from }
    }

    private fun append(record: FeedRecord): FeedBuffer = when {
        newest[record.key]?.let { record.repeats(it) } ?: false -> this
        record.content == null -> copy(newest = newest.remove(record.key), changes = changes.add(record))
        else -> copy(newest = newest.put(record.key, record), changes = changes.add(record))
    }

    private fun trim(): FeedBuffer {
        val surplus = changes.size - MAXIMUM_CHANGES
        if (surplus <= 0) return withoutOldSkips()
        return copy(
            changes = changes.drop(surplus).toPersistentList(),
            changesFrom = changes[surplus - 1].offset + 1,
        ).withoutOldSkips()
    }

    private fun withoutOldSkips(): FeedBuffer {
        val kept = skipped.filter { !it.isEmpty() && it.last >= changesFrom }.takeLast(MAXIMUM_SKIPS)
        if (kept.size == skipped.size) return this
        val dropped = skipped.filter { !it.isEmpty() && it !in kept }.maxOfOrNull { it.last + 1 } ?: changesFrom
        return copy(skipped = kept.toPersistentList(), changesFrom = maxOf(changesFrom, dropped))
    }

    companion object {
        /** The maximum number of changes kept. One that lacks more gets the newest record of each key. */
        const val MAXIMUM_CHANGES = 512

        /** The maximum number of skipped ranges kept. Before them, the newest record of each key is given. */
        const val MAXIMUM_SKIPS = 32

        /** Returns the buffer after a snapshot with [records] was read, which reflects all records before [end]. */
        fun of(records: List<FeedRecord>, end: Long): FeedBuffer = FeedBuffer(
            newest = records.filter { it.content != null }
                .fold(persistentHashMapOf()) { newest, record -> newest.put(record.key, record) },
            changes = persistentListOf(),
            changesFrom = end,
            end = end,
        )
    }
}

private fun FeedRecord.says(earlier: FeedRecord): Boolean = content == earlier.content || repeats(earlier)

private fun FeedRecord.removal(): FeedEntry? = when (val removed = entry) {
    is FeedEntry.Server -> FeedEntry.ServerRemoved(removed.listing.id)
    is FeedEntry.Evacuation -> removed.copy(active = false)
    is FeedEntry.Rollout -> FeedEntry.RolloutRemoved(removed.order.service)
    else -> null
}

/**
 * Returns whether this record says the same as [earlier], the one before of its key. A server that is cold says with
 * each record for how much longer, so that none repeats another.
 */
private fun FeedRecord.repeats(earlier: FeedRecord): Boolean {
    val listing = (entry as? FeedEntry.Server)?.listing
    val before = (earlier.entry as? FeedEntry.Server)?.listing
    return listing != null && before != null && listing.coldMilliseconds == 0L &&
        listing.copy(sequence = before.sequence) == before
}
