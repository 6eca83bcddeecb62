package org.quetzalloom.daemon.backend

import org.quetzalloom.core.event.Event

/** One attempt to run a request at a backend server, over HTTP, in the router that `Daemon` runs. */
internal fun interface BackendCall {
    /**
     * Sends the request and posts an event for each part of the response except the last event, which it returns.
     *
     * @throws kotlinx.io.IOException if the connection fails.
     * @throws kotlinx.serialization.SerializationException if the response cannot be parsed.
     * @throws IllegalArgumentException if the response names a start identity that is not a valid identifier.
     * @throws io.ktor.http.cio.ParserException if the response is not valid HTTP.
     */
    suspend fun run(): Event.OfBackend
}
