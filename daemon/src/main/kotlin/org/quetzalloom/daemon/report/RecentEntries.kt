package org.quetzalloom.daemon.report

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.timeline.TimelineEntry

/** The latest entries, at least [ENTRIES_PER_GENERATION] and at most twice as many once there are enough. */
internal data class RecentEntries(
    private val older: PersistentList<TimelineEntry> = persistentListOf(),
    private val newer: PersistentList<TimelineEntry> = persistentListOf(),
) {
    fun add(entry: TimelineEntry): RecentEntries =
        if (newer.size < ENTRIES_PER_GENERATION) {
            copy(newer = newer.add(entry))
        } else {
            RecentEntries(older = newer, newer = persistentListOf(entry))
        }

    fun all(): PersistentList<TimelineEntry> = older.addAll(newer)

    private companion object {
        const val ENTRIES_PER_GENERATION = 10_000
    }
}
