package org.quetzalloom.tool.operation

import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.tool.ExitCode

/** Leads a change of the configuration, or a comparison with it, to its end. */
internal object ChangeSteps {
    /** Takes in what the log gave; once nothing more comes, the operation goes on. */
    fun read(state: ToolState, event: ToolEvent.LogRead): ToolStep {
        val next = event.entries.fold(state) { reached, entry -> reached.read(entry) }.copy(next = event.next)
        return when {
            next.ended -> next.end(ExitCode.DONE, ToolEffect.Print("accepted as revision ${next.view.revision}"))
            event.entries.isNotEmpty() -> next.with(ToolEffect.ReadLog(next.next))
            next.operation is Operation.Diff -> diff(next, next.operation)
            next.operation is Operation.Change -> change(next, next.operation)
            else -> Transition(next)
        }
    }

    /** Marks the state as ended if [entry] is the own proposal and has come first. */
    private fun ToolState.read(entry: LogEntry): ToolState {
        val record = (entry.record as? LogRecord.OfConfiguration)?.record
        if (record == null || ended) return this
        val moved = view.read(record)
        val own = record is ConfigurationRecord.Proposed && record.author == author
        return copy(view = moved, ended = own && moved.revision > view.revision)
    }

    private fun diff(state: ToolState, operation: Operation.Diff): ToolStep {
        val lines = ConfigurationDiff.lines(state.view.current, operation.wanted)
        return state.end(ExitCode.DONE, ToolEffect.Print(lines.joinToString("\n").ifEmpty { "no difference" }))
    }

    private fun change(state: ToolState, operation: Operation.Change): ToolStep {
        val base = operation.base ?: state.view.revision
        return when {
            state.proposedOn != null && !state.appended -> state.with(ToolEffect.ReadLog(state.next))
            base != state.view.revision -> lost(state, base)
            state.appended && !operation.repeats -> lost(state, base)
            else -> decide(state, operation)
        }
    }

    private fun lost(state: ToolState, base: Long): ToolStep = state.end(
        ExitCode.LOST_RACE,
        ToolEffect.Complain("another change came first: the revision is ${state.view.revision}, not $base"),
    )

    private fun decide(state: ToolState, operation: Operation.Change): ToolStep =
        when (val decision = operation.decide(state.view.current)) {
            is ChangeDecision.Refuse -> state.end(ExitCode.REFUSED, ToolEffect.Complain(decision.reason))
            is ChangeDecision.Nothing -> state.end(ExitCode.DONE, ToolEffect.Print(decision.reason))
            is ChangeDecision.Make -> propose(state, decision.change)
        }

    private fun propose(state: ToolState, change: ConfigurationChange): ToolStep {
        val base = state.view.revision
        val record = LogRecord.OfConfiguration(ConfigurationRecord.Proposed(base, state.author, change))
        return state.copy(proposedOn = base, appended = false).with(ToolEffect.Append(record))
    }
}
