package org.quetzalloom.standins.http

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf

/** Everything that a stand-in can do. */
sealed interface HttpEffect {
    /** The request that is answered. */
    val exchangeId: String

    /** Answer with a whole response. */
    data class Respond(
        override val exchangeId: String,
        val status: Int = 200,
        val body: String = "",
        val headers: PersistentMap<String, String> = persistentMapOf(),
    ) : HttpEffect

    /** Begin a stream of server-sent events. */
    data class Open(
        override val exchangeId: String,
        val headers: PersistentMap<String, String> = persistentMapOf(),
    ) : HttpEffect

    /** Send one server-sent event. */
    data class Send(override val exchangeId: String, val data: String) : HttpEffect

    /** End a stream as it should end. */
    data class Close(override val exchangeId: String) : HttpEffect

    /** Close the connection in the middle of whatever it was doing. */
    data class Abort(override val exchangeId: String) : HttpEffect
}
