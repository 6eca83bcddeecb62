package org.quetzalloom.daemon.report

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.timeline.TimelineEntry

/**
 * The most recent time line entries, at most twice [ENTRIES_PER_GENERATION].
 *
 * When the newer generation is full, the older one is dropped as a whole, so at least [ENTRIES_PER_GENERATION] entries
 * are available once that many were added.
 */
internal data class RecentEntries(
    private val older: PersistentList<TimelineEntry> = persistentListOf(),
    private val newer: PersistentList<TimelineEntry> = persistentListOf(),
) {
    /** Returns the entries with [entry] added at the end. */
    fun add(entry: TimelineEntry): RecentEntries =
        if (newer.size < ENTRIES_PER_GENERATION) {
            copy(newer = newer.add(entry))
        } else {
            RecentEntries(older = newer, newer = persistentListOf(entry))
        }

    /** Returns all entries, oldest first. */
    fun all(): PersistentList<TimelineEntry> = older.addAll(newer)

    private companion object {
        const val ENTRIES_PER_GENERATION = 10_000
    }
}
