package org.quetzalloom.daemon.backend

import org.quetzalloom.core.event.Event

/** One attempt at one backend server, over HTTP. */
internal fun interface BackendCall {
    /**
     * Sends the order and posts what comes back; returns the last event, which is not posted.
     *
     * @throws kotlinx.io.IOException if the connection fails.
     */
    suspend fun run(): Event.OfBackend
}
