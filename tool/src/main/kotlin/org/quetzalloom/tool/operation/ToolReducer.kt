package org.quetzalloom.tool.operation

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.tool.ExitCode

/** Leads one operation of the tool to its end. */
internal object ToolReducer : Reducer<ToolState, ToolEvent, ToolEffect> {
    private const val PATIENCE_MILLISECONDS = 10_000L

    override fun reduce(state: ToolState, event: ToolEvent, now: Timestamp): Transition<ToolState, ToolEffect> = when {
        state.ended -> Transition(state)
        event is ToolEvent.Tick -> tick(state, now)
        event is ToolEvent.LogRead -> ChangeSteps.read(state, event)
        event is ToolEvent.LogReadFailed -> state.with(ToolEffect.ReadLog(state.next))
        event is ToolEvent.Appended -> state.copy(appended = true).with(ToolEffect.ReadLog(state.next))
        event is ToolEvent.AppendFailed -> state.with(ToolEffect.ReadLog(state.next))
        event is ToolEvent.Answered -> answered(state, event)
        else -> Transition(state)
    }

    private fun tick(state: ToolState, now: Timestamp): ToolStep {
        val begunAt = state.begunAt
        return when {
            begunAt == null -> begin(state.copy(begunAt = now))
            now - begunAt < PATIENCE_MILLISECONDS -> Transition(state)
            else -> giveUp(state)
        }
    }

    private fun giveUp(state: ToolState): ToolStep {
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
        val next = state.copy(answers = state.answers.put(event.vm, event.body))
        val operation = state.operation
        val complete = operation is Operation.Ask && next.answers.size == operation.vms.size
        return if (operation is Operation.Ask && complete) show(next, operation) else Transition(next)
    }

    private fun show(state: ToolState, operation: Operation.Ask): ToolStep {
        val silent = state.answers.filterValues { it == null }.keys.sorted()
        val printed = ToolEffect.Print(operation.format(state.answers))
        return if (silent.isEmpty()) {
            state.end(ExitCode.DONE, printed)
        } else {
            state.end(ExitCode.REFUSED, printed, ToolEffect.Complain("no answer from ${silent.joinToString()}"))
        }
    }
}
