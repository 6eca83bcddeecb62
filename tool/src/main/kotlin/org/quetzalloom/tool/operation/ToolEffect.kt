package org.quetzalloom.tool.operation

import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.tool.ExitCode

/** The side effects that [ToolReducer] requests. */
internal sealed interface ToolEffect {
    /**
     * Reads the configuration stream of the log from the offset [from]. [ToolEvent.LogRead] or
     * [ToolEvent.LogReadFailed] follows.
     */
    data class ReadLog(val from: Long) : ToolEffect

    /**
     * Appends [record] to the configuration stream of the log. [ToolEvent.Appended] or [ToolEvent.AppendFailed]
     * follows.
     */
    data class Append(val record: LogRecord) : ToolEffect

    /** Sends an HTTP request to the router on the VM named [vm]. [ToolEvent.VmAnswered] follows. */
    data class Call(val vm: String, val method: String, val path: String) : ToolEffect

    /** Prints [text], which may have several lines, to the standard output. */
    data class Print(val text: String) : ToolEffect

    /** Prints [text] to the standard error. */
    data class PrintError(val text: String) : ToolEffect

    /** Ends the operation with the exit code [code]. */
    data class Exit(val code: ExitCode) : ToolEffect
}
