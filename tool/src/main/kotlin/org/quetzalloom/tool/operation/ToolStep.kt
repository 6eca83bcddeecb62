package org.quetzalloom.tool.operation

import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.tool.ExitCode

/** The result of reducing one event of an operation. */
internal typealias ToolStep = Transition<ToolState, ToolEffect>

/** Returns the transition to this state with [effects]. */
internal fun ToolState.with(vararg effects: ToolEffect): ToolStep = Transition(this, persistentListOf(*effects))

/** Returns the transition that carries out [effects] and then ends the operation with [code]. */
internal fun ToolState.end(code: ExitCode, vararg effects: ToolEffect): ToolStep =
    Transition(copy(ended = true), persistentListOf(*effects, ToolEffect.Exit(code)))
