package org.quetzalloom.core.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * What a reader of the configuration stream knows.
 *
 * Every reader of the same records in the same order accepts the same changes. The revision never falls.
 *
 * @property current the newest configuration known, or `null` before the first.
 * @property pending for each revision above [current], the changes seen that build on it, in order. A reader that
 *   starts after the oldest records have expired needs these once it finds a snapshot.
 */
public data class ConfigurationView(
    public val current: Configuration? = null,
    public val pending: PersistentMap<Long, PersistentList<ConfigurationChange>> = persistentMapOf(),
) {
    /** The newest revision known, or 0 before the first. */
    public val revision: Long get() = current?.revision ?: 0

    /** Returns the view after [record], the next one of the stream. */
    public fun read(record: ConfigurationRecord): ConfigurationView = when (record) {
        is ConfigurationRecord.Snapshot -> adopt(record.configuration)
        is ConfigurationRecord.Proposed -> readProposal(record)
    }

    /** Returns the view after hearing of [configuration] from a snapshot or a peer; an older one is ignored. */
    public fun adopt(configuration: Configuration): ConfigurationView =
        if (configuration.revision <= revision) this else copy(current = configuration).withPendingApplied()

    private fun readProposal(record: ConfigurationRecord.Proposed): ConfigurationView {
        if (record.base < revision) return this
        val earlier = pending[record.base] ?: persistentListOf()
        return copy(pending = pending.put(record.base, earlier.add(record.change))).withPendingApplied()
    }

    /** Applies the first valid pending change of each revision, as far as they reach. */
    private fun withPendingApplied(): ConfigurationView {
        val base = current ?: Configuration()
        val next = pending[base.revision].orEmpty().firstNotNullOfOrNull { base.applyOrNull(it) }
        val kept = pending.keys.filter { it <= base.revision }
            .fold(pending) { remaining, revision -> remaining.remove(revision) }
        if (next == null) return copy(pending = kept)
        return ConfigurationView(current = next, pending = kept).withPendingApplied()
    }
}
