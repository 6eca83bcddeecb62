package org.quetzalloom.tool.operation

import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.tool.ExitCode

/** Everything that the tool can do. */
internal sealed interface ToolEffect {
    /** Read the configuration stream from the offset [from]. */
    data class ReadLog(val from: Long) : ToolEffect

    /** Append [record] to the configuration stream. */
    data class Append(val record: LogRecord) : ToolEffect

    /** Call [path] of [vm] with [method]. */
    data class Call(val vm: String, val method: String, val path: String) : ToolEffect

    /** Print [text] as one or more lines. */
    data class Print(val text: String) : ToolEffect

    /** Print [text] as an error. */
    data class PrintError(val text: String) : ToolEffect

    /** End the process. */
    data class Exit(val code: ExitCode) : ToolEffect
}
