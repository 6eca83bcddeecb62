package org.quetzalloom.core.ledger

import org.quetzalloom.core.event.Event
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.enqueue
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Applies the stream of commands in the log, which decides for all VMs which request runs a command.
 *
 * Commands are removed after `commandMemoryMilliseconds`, which is no longer than the log retains its records.
 */
internal object LedgerPart : Part {
    private const val SWEEP_INTERVAL_MILLISECONDS = 60_000L

    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.OfPlatform.LogRead -> state.onLogRead(event, now).unchanged()
        is Event.Tick -> state.sweep(now).unchanged()
        else -> state.unchanged()
    }

    /** Applies the entries read from the commands stream, in order of their offsets. */
    private fun RouterState.onLogRead(event: Event.OfPlatform.LogRead, now: Timestamp): RouterState {
        if (event.stream != LogStream.COMMANDS) return this
        return event.entries.fold(this) { state, entry -> state.applyEntry(entry, now) }
    }

    private fun RouterState.applyEntry(
        entry: LogEntry,
        now: Timestamp,
    ): RouterState = when (val record = entry.record) {
        is LogRecord.Intent -> copy(ledger = ledger.withIntent(record, entry.offset, now)).releaseAbandoned(record)
        is LogRecord.Outcome -> copy(ledger = ledger.withOutcome(record))
        is LogRecord.Release -> copy(ledger = ledger.withRelease(record))
        else -> this
    }

    /**
     * Releases [intent] if its request was refused before the intent was read back, and it has won.
     *
     * At the refusal it was not known whether the intent was in the log.
     */
    private fun RouterState.releaseAbandoned(intent: LogRecord.Intent): RouterState {
        val won = ledger.entries[intent.command]?.request == intent.request
        if (intent.request !in ledger.abandonedIntents) return this
        val next = copy(ledger = ledger.copy(abandonedIntents = ledger.abandonedIntents.remove(intent.request)))
        return if (won) next.enqueue(LogRecord.Release(intent.command, intent.request)) else next
    }

    /** Removes expired commands, once per [SWEEP_INTERVAL_MILLISECONDS]. */
    private fun RouterState.sweep(now: Timestamp): RouterState {
        val last = ledger.sweptAt
        if (last != null && now - last < SWEEP_INTERVAL_MILLISECONDS) return this
        val expired = ledger.entries.filterValues { now - it.readAt > settings.limits.commandMemoryMilliseconds }.keys
        val kept = expired.fold(ledger.entries) { entries, command -> entries.remove(command) }
        return copy(ledger = ledger.copy(entries = kept, sweptAt = now))
    }
}
