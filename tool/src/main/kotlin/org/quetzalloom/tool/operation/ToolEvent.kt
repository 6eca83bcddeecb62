package org.quetzalloom.tool.operation

import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.log.LogEntry

/** Everything that can happen to the tool. */
internal sealed interface ToolEvent {
    /** Time has passed; the first one begins the operation. */
    data object Tick : ToolEvent

    /** The configuration stream gave [entries]; [nextOffset] is the offset to read from next. */
    data class LogRead(val entries: PersistentList<LogEntry>, val nextOffset: Long) : ToolEvent

    /** The log could not be read. */
    data object LogReadFailed : ToolEvent

    /** The change is in the log. */
    data object Appended : ToolEvent

    /** The append failed, or its answer was lost. */
    data object AppendFailed : ToolEvent

    /** [vm] answered with [body], or not at all. */
    data class VmAnswered(val vm: String, val body: String?) : ToolEvent
}
