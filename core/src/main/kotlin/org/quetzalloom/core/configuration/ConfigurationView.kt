package org.quetzalloom.core.configuration

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf

/**
 * The configuration as a reader of the configuration stream knows it.
 *
 * All readers of the same records in the same order accept the same changes. The revision never decreases.
 *
 * @property current the newest known configuration, or `null` before the first.
 * @property pending changes based on revisions later than [current], by that revision, in log order. A reader that
 *   starts after the oldest records have expired applies them once it reads a snapshot.
 */
public data class ConfigurationView(
    public val current: Configuration? = null,
    public val pending: PersistentMap<Long, PersistentList<ConfigurationChange>> = persistentMapOf(),
) {
    /** The newest known revision, or 0 before the first. */
    public val revision: Long get() = current?.revision ?: 0

    /** Returns the view after reading [record], the next one of the stream. */
    public fun read(record: ConfigurationRecord): ConfigurationView = when (record) {
        is ConfigurationRecord.Snapshot -> adopt(record.configuration)
        is ConfigurationRecord.Proposed -> readProposal(record)
    }

    /** Returns the view with [configuration], from a snapshot or a peer, if it is newer than the current one. */
    public fun adopt(configuration: Configuration): ConfigurationView =
        if (configuration.revision <= revision) this else copy(current = configuration).withPendingApplied()

    private fun readProposal(record: ConfigurationRecord.Proposed): ConfigurationView {
        if (record.base < revision) return this
        val earlier = pending[record.base] ?: persistentListOf()
        return copy(pending = pending.put(record.base, earlier.add(record.change))).withPendingApplied()
    }

    /** Applies the first valid pending change of each revision in turn, until a revision has none. */
    private fun withPendingApplied(): ConfigurationView {
        val base = current ?: Configuration()
        val next = pending[base.revision].orEmpty().firstNotNullOfOrNull { base.applyOrNull(it) }
        val kept = pending.keys.filter { it <= base.revision }
            .fold(pending) { remaining, revision -> remaining.remove(revision) }
        if (next == null) return copy(pending = kept)
        return ConfigurationView(current = next, pending = kept).withPendingApplied()
    }
}
