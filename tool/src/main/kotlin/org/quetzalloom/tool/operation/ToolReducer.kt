package org.quetzalloom.tool.operation

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.configuration.ConfigurationChange
import org.quetzalloom.core.configuration.ConfigurationRecord
import org.quetzalloom.core.log.LogEntry
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.tool.ExitCode

private typealias ToolStep = Transition<ToolState, ToolEffect>

/** Leads one operation of the tool to its end. */
internal object ToolReducer : Reducer<ToolState, ToolEvent, ToolEffect> {
    private const val PATIENCE_MILLISECONDS = 10_000L

    override fun reduce(state: ToolState, event: ToolEvent, now: Timestamp): Transition<ToolState, ToolEffect> = when {
        state.ended -> Transition(state)
        event is ToolEvent.Tick -> tick(state, now)
        event is ToolEvent.LogRead -> read(state, event)
        event is ToolEvent.LogReadFailed -> state.with(ToolEffect.ReadLog(state.next))
        event is ToolEvent.Appended -> state.copy(appended = true).with(ToolEffect.ReadLog(state.next))
        event is ToolEvent.AppendFailed -> state.with(ToolEffect.ReadLog(state.next))
        event is ToolEvent.Answered -> answered(state, event)
        else -> Transition(state)
    }

    private fun tick(state: ToolState, now: Timestamp): ToolStep {
        val begunAt = state.begunAt ?: return begin(state.copy(begunAt = now))
        if (now - begunAt < PATIENCE_MILLISECONDS) return Transition(state)
        val proposed = state.proposedOn != null
        val problem = if (proposed) "whether the change was accepted is not known" else "nothing was changed"
        return state.end(
            if (proposed) ExitCode.UNKNOWN else ExitCode.REFUSED,
            ToolEffect.Complain("no answer within $PATIENCE_MILLISECONDS milliseconds; $problem"),
        )
    }

    private fun begin(state: ToolState): ToolStep = when (val operation = state.operation) {
        is Operation.Change, is Operation.Diff -> state.with(ToolEffect.ReadLog(state.next))
        is Operation.Ask -> {
            val calls = operation.vms.map { ToolEffect.Call(it, operation.method, operation.path) }
            Transition(state, calls.toPersistentList())
        }
    }

    private fun answered(state: ToolState, event: ToolEvent.Answered): ToolStep {
        val operation = state.operation as? Operation.Ask ?: return Transition(state)
        val next = state.copy(answers = state.answers.put(event.vm, event.body))
        if (next.answers.size < operation.vms.size) return Transition(next)
        val silent = next.answers.filterValues { it == null }.keys.sorted()
        val printed = ToolEffect.Print(operation.format(next.answers))
        return if (silent.isEmpty()) {
            next.end(ExitCode.DONE, printed)
        } else {
            next.end(ExitCode.REFUSED, printed, ToolEffect.Complain("no answer from ${silent.joinToString()}"))
        }
    }

    /** Takes in what the log gave; once nothing more comes, the operation goes on. */
    private fun read(state: ToolState, event: ToolEvent.LogRead): ToolStep {
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
        val record = (entry.record as? LogRecord.OfConfiguration)?.record ?: return this
        val moved = view.read(record)
        val own = record is ConfigurationRecord.Proposed && record.author == author
        if (!own) return copy(view = if (ended) view else moved)
        val accepted = moved.revision > view.revision
        return copy(view = moved, ended = accepted, proposedOn = if (accepted) proposedOn else null)
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

    private fun ToolState.with(vararg effects: ToolEffect): ToolStep = Transition(this, persistentListOf(*effects))

    private fun ToolState.end(code: ExitCode, vararg effects: ToolEffect): ToolStep =
        Transition(copy(ended = true), persistentListOf(*effects, ToolEffect.Exit(code)))
}
