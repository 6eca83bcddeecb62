package org.quetzalloom.standins.http

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/**
 * An effect of a stand-in: a step of the response to one request.
 *
 * A response is either one [Respond], or an [Open] with any number of [Send] and a [Close]. An [Abort] may come at any
 * point, and ends it.
 */
sealed interface HttpEffect {
    /** The identifier of the request that is answered. */
    val exchangeId: String

    /** Sends a complete response. */
    data class Respond(
        override val exchangeId: String,
        val status: Int = 200,
        val body: String = "",
        val headers: PersistentMap<String, String> = persistentMapOf(),
    ) : HttpEffect

    /** Starts a response that is a stream of server-sent events. */
    data class Open(
        override val exchangeId: String,
        val headers: PersistentMap<String, String> = persistentMapOf(),
    ) : HttpEffect

    /** Sends one server-sent event with [data]. */
    data class Send(override val exchangeId: String, val data: String) : HttpEffect

    /** Ends a stream normally. */
    data class Close(override val exchangeId: String) : HttpEffect

    /** Closes the connection before the response is complete. */
    data class Abort(override val exchangeId: String) : HttpEffect
}
