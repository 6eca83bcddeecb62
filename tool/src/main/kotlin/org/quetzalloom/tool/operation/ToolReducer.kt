package org.quetzalloom.tool.operation

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.tool.ExitCode

/**
 * Runs one operation of the tool. What the log returns to a change or a comparison is handled by [ChangeSteps].
 *
 * An operation that does not complete in time fails: with [ExitCode.UNKNOWN] if a change has been proposed by then,
 * since it may still be accepted, else with [ExitCode.REFUSED].
 */
internal object ToolReducer : Reducer<ToolState, ToolEvent, ToolEffect> {
    private const val OPERATION_TIMEOUT_MILLISECONDS = 10_000L

    override fun reduce(state: ToolState, event: ToolEvent, now: Timestamp): Transition<ToolState, ToolEffect> = when {
        state.ended -> Transition(state)
        event is ToolEvent.Tick -> tick(state, now)
        event is ToolEvent.LogRead -> ChangeSteps.handleLogRead(state, event)
        event is ToolEvent.LogReadFailed -> state.with(ToolEffect.ReadLog(state.nextOffset))
        event is ToolEvent.Appended -> state.copy(appended = true).with(ToolEffect.ReadLog(state.nextOffset))
        event is ToolEvent.AppendFailed -> state.with(ToolEffect.ReadLog(state.nextOffset))
        event is ToolEvent.VmAnswered -> vmAnswered(state, event)
        else -> Transition(state)
    }

    private fun tick(state: ToolState, now: Timestamp): ToolStep {
        val startedAt = state.startedAt
        return when {
            startedAt == null -> start(state.copy(startedAt = now))
            now - startedAt < OPERATION_TIMEOUT_MILLISECONDS -> Transition(state)
            else -> timeOut(state)
        }
    }

    private fun timeOut(state: ToolState): ToolStep {
        val proposed = state.proposalBase != null
        val problem = if (proposed) "whether the change was accepted is not known" else "nothing was changed"
        return state.end(
            if (proposed) ExitCode.UNKNOWN else ExitCode.REFUSED,
            ToolEffect.PrintError("no answer within $OPERATION_TIMEOUT_MILLISECONDS milliseconds; $problem"),
        )
    }

    private fun start(state: ToolState): ToolStep = when (val operation = state.operation) {
        is Operation.Change, is Operation.Diff -> state.with(ToolEffect.ReadLog(state.nextOffset))
        is Operation.CallVms -> {
            val calls = operation.vms.map { ToolEffect.Call(it, operation.method, operation.path) }
            Transition(state, calls.toPersistentList())
        }
    }

    private fun vmAnswered(state: ToolState, event: ToolEvent.VmAnswered): ToolStep {
        val next = state.copy(answers = state.answers.put(event.vm, event.body))
        val operation = state.operation
        val complete = operation is Operation.CallVms && next.answers.size == operation.vms.size
        return if (operation is Operation.CallVms && complete) finish(next, operation) else Transition(next)
    }

    private fun finish(state: ToolState, operation: Operation.CallVms): ToolStep {
        val unreachable = state.answers.filterValues { it == null }.keys.sorted()
        val output = ToolEffect.Print(operation.format(state.answers))
        return if (unreachable.isEmpty()) {
            state.end(ExitCode.DONE, output)
        } else {
            state.end(ExitCode.REFUSED, output, ToolEffect.PrintError("no answer from ${unreachable.joinToString()}"))
        }
    }
}
