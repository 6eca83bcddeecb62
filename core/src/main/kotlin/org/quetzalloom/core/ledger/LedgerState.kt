package org.quetzalloom.core.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.time.Timestamp

/**
 * The state owned by [LedgerPart].
 *
 * @property entries the state of each command. VMs that have read the same records hold the same entries.
 * @property abandonedIntents the requests of this VM that were refused before their intent was read back; such an
 *   intent is released when it appears in the log.
 * @property sweptAt the time when expired entries were last removed, or `null` before the first time.
 */
internal data class LedgerState(
    val entries: PersistentMap<CommandId, CommandEntry> = persistentMapOf(),
    val abandonedIntents: PersistentSet<RequestId> = persistentSetOf(),
    val sweptAt: Timestamp? = null,
) {
    /**
     * Returns the state after [intent], read at [offset].
     *
     * Only the first intent of a command counts, until it is released.
     */
    fun withIntent(intent: LogRecord.Intent, offset: Long, now: Timestamp): LedgerState {
        if (intent.command in entries) return this
        val entry = CommandEntry(
            request = intent.request,
            owner = intent.owner,
            fingerprint = intent.fingerprint,
            offset = offset,
            readAt = now,
        )
        return copy(entries = entries.put(intent.command, entry))
    }

    /** Returns the state after [outcome], which is ignored unless it is the first one of the winning request. */
    fun withOutcome(outcome: LogRecord.Outcome): LedgerState {
        val entry = entries[outcome.command]?.takeIf { it.request == outcome.request && it.result == null }
        return if (entry == null) {
            this
        } else {
            copy(entries = entries.put(outcome.command, entry.copy(result = outcome.result)))
        }
    }

    /** Returns the state after [release], which is ignored unless the winning request has no outcome yet. */
    fun withRelease(release: LogRecord.Release): LedgerState {
        val entry = entries[release.command]?.takeIf { it.request == release.request && it.result == null }
        return if (entry == null) this else copy(entries = entries.remove(release.command))
    }
}
