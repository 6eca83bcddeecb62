package org.quetzalloom.tool.operation

import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.log.LogEntry

/** The events that [ToolReducer] handles. */
internal sealed interface ToolEvent {
    /** Time has passed. The first tick starts the operation. */
    data object Tick : ToolEvent

    /** [entries] were read from the configuration stream; the next read starts at [nextOffset]. */
    data class LogRead(val entries: PersistentList<LogEntry>, val nextOffset: Long) : ToolEvent

    /** The configuration stream could not be read. */
    data object LogReadFailed : ToolEvent

    /** The record was appended to the configuration stream. Whether the proposal is accepted is read from there. */
    data object Appended : ToolEvent

    /** The append failed, or its response was lost after it had succeeded. */
    data object AppendFailed : ToolEvent

    /** The router on [vm] responded with [body]; `null` if the call failed or the response had an error status. */
    data class VmAnswered(val vm: String, val body: String?) : ToolEvent
}
