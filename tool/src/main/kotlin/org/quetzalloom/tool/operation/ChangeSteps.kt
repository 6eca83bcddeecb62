package org.quetzalloom.tool.operation

import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.tool.ExitCode

/** Handles what the log returns to an [Operation.Change] or an [Operation.Diff]. */
internal object ChangeSteps {
    /**
     * Adds the entries read to the state. Ends the operation if they show that its proposal was accepted; else reads on
     * until there are no more, and then continues the operation.
     */
    fun handleLogRead(state: ToolState, event: ToolEvent.LogRead): ToolStep {
        val next = event.entries
            .fold(state) { current, entry -> current.withEntry(entry) }
            .copy(nextOffset = event.nextOffset)
        return when {
            next.ended -> next.end(ExitCode.DONE, ToolEffect.Print("accepted as revision ${next.view.revision}"))
            event.entries.isNotEmpty() -> next.with(ToolEffect.ReadLog(next.nextOffset))
            next.operation is Operation.Diff -> printDiff(next, next.operation)
            next.operation is Operation.Change -> continueChange(next, next.operation)
            else -> Transition(next)
        }
    }

    /**
     * Returns the state after [entry]. It has ended if the entry is the proposal of this run and is accepted, that is,
     * no other change on the same revision came first.
     */
    private fun ToolState.withEntry(entry: LogEntry): ToolState {
        val record = (entry.record as? LogRecord.OfConfiguration)?.record
        if (record == null || ended) return this
        val updatedView = view.read(record)
        val isOwnProposal = record is ConfigurationRecord.Proposed && record.author == author
        return copy(view = updatedView, ended = isOwnProposal && updatedView.revision > view.revision)
    }

    private fun printDiff(state: ToolState, operation: Operation.Diff): ToolStep {
        val lines = ConfigurationDiff.lines(state.view.current, operation.wanted)
        return state.end(ExitCode.DONE, ToolEffect.Print(lines.joinToString("\n").ifEmpty { "no difference" }))
    }

    /**
     * Continues a change once the whole log has been read.
     *
     * While it is not known whether the last append succeeded, reads on, as the proposal may still appear in the log.
     * A proposal that is known to be in the log but was not accepted has lost against another change; it is decided and
     * proposed again on the new revision if the operation retries and has no fixed base.
     */
    private fun continueChange(state: ToolState, operation: Operation.Change): ToolStep {
        val base = operation.base ?: state.view.revision
        return when {
            state.proposalBase != null && !state.appended -> state.with(ToolEffect.ReadLog(state.nextOffset))
            base != state.view.revision -> loseRace(state, base)
            state.appended && !operation.retries -> loseRace(state, base)
            else -> decide(state, operation)
        }
    }

    /** Ends the operation because a change of another operator made a newer revision than [base]. */
    private fun loseRace(state: ToolState, base: Long): ToolStep = state.end(
        ExitCode.LOST_RACE,
        ToolEffect.PrintError("another change came first: the revision is ${state.view.revision}, not $base"),
    )

    private fun decide(state: ToolState, operation: Operation.Change): ToolStep =
        when (val decision = operation.decide(state.view.current)) {
            is ChangeDecision.Refuse -> state.end(ExitCode.REFUSED, ToolEffect.PrintError(decision.reason))
            is ChangeDecision.NoChange -> state.end(ExitCode.DONE, ToolEffect.Print(decision.reason))
            is ChangeDecision.Propose -> propose(state, decision.change)
        }

    private fun propose(state: ToolState, change: ConfigurationChange): ToolStep {
        val base = state.view.revision
        val record = LogRecord.OfConfiguration(ConfigurationRecord.Proposed(base, state.author, change))
        return state.copy(proposalBase = base, appended = false).with(ToolEffect.Append(record))
    }
}
