package org.quetzalloom.relay.caller

import org.quetzalloom.core.time.Clock
import org.quetzalloom.relay.head.ConnectionMemory
import org.quetzalloom.runtime.SystemClock

/** Servers and connections of callers, without limits unless a test sets them. */
internal object TestCallers {
    /** Returns a server whose requests [handler] handles. */
    fun server(
        handler: RequestHandler = RecordingHandler(),
        memory: RequestMemory = RequestMemory(limitBytes = Long.MAX_VALUE),
        unread: UnreadResponses = unread(),
    ): CallerServer = CallerServer(handler, memory, unread)

    /** Returns a connection that is not open. */
    fun connection(memory: RequestMemory): CallerConnection =
        CallerConnection(server(memory = memory), ConnectionMemory(memory), UnreadBytes(memory, unread()))

    /** Returns the bound of what callers have not read. */
    fun unread(limitBytes: Long = Long.MAX_VALUE, clock: Clock = SystemClock()) =
        UnreadResponses(limitBytes, clock)
}
