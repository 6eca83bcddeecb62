package org.quetzalloom.standins.http

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.wire.WireFormat

/**
 * An HTTP request that a stand-in received.
 *
 * @property exchangeId the identifier of the request and its response within the process.
 * @property query the first value of each query parameter.
 * @property headers the first value of each header, by name in lower case.
 * @property body the body; one character per byte if [StandIn.hasBinaryBodies].
 */
data class HttpCall(
    val exchangeId: String,
    val method: String,
    val path: String,
    val query: PersistentMap<String, String> = persistentMapOf(),
    val headers: PersistentMap<String, String> = persistentMapOf(),
    val body: String = "",
) {
    /** Returns the value of the header [name], in any case, or `null` if it is absent. */
    fun header(name: String): String? = headers[name.lowercase()]

    /** Returns whether this request has exactly this [method] and [path]. */
    fun matches(method: String, path: String): Boolean = this.method == method && this.path == path
}

/** Returns the body decoded from JSON as a [T], or `null` if it cannot be. */
internal inline fun <reified T> HttpCall.parseOrNull(): T? = try {
    WireFormat.decodeFromString<T>(body)
} catch (_: IllegalArgumentException) {
    null
}

/** Returns the response to a request whose body cannot be parsed: status 400. */
internal fun HttpCall.badRequest(): HttpEffect = HttpEffect.Respond(
    exchangeId,
    status = 400,
    body = "the request body cannot be parsed",
)
