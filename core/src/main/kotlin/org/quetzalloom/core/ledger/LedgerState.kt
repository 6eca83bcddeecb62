package org.quetzalloom.core.ledger

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.identity.RequestId
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.time.Timestamp

/**
 * The slice of [LedgerPart]: the state of each command, the same at every reader of the same records.
 *
 * @property abandoned requests of this VM that were refused before their intent was read back; such an intent
 *   is released when it appears.
 * @property sweptAt when old entries were last forgotten.
 */
internal data class LedgerState(
    val entries: PersistentMap<CommandId, CommandEntry> = persistentMapOf(),
    val abandonedIntents: PersistentSet<RequestId> = persistentSetOf(),
    val sweptAt: Timestamp? = null,
) {
    /** Returns the state after the intent at [offset]; only the first of a command counts. */
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

    /** Returns the state after [outcome]; one that does not belong to the winning intent is ignored. */
    fun withOutcome(outcome: LogRecord.Outcome): LedgerState {
        val entry = entries[outcome.command]?.takeIf { it.request == outcome.request && it.result == null }
        return if (entry == null) {
            this
        } else {
            copy(entries = entries.put(outcome.command, entry.copy(result = outcome.result)))
        }
    }

    /** Returns the state after [release]; one that does not belong to the winning intent is ignored. */
    fun withRelease(release: LogRecord.Release): LedgerState {
        val entry = entries[release.command]?.takeIf { it.request == release.request && it.result == null }
        return if (entry == null) this else copy(entries = entries.remove(release.command))
    }
}
