package org.quetzalloom.standins.http

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.wire.WireFormat

/**
 * One HTTP request that a stand-in received.
 *
 * @property exchange names the request within the process.
 * @property headers the headers, by name in lower case.
 */
data class HttpCall(
    val exchangeId: String,
    val method: String,
    val path: String,
    val query: PersistentMap<String, String> = persistentMapOf(),
    val headers: PersistentMap<String, String> = persistentMapOf(),
    val body: String = "",
) {
    /** Returns the header [name], or `null`. */
    fun header(name: String): String? = headers[name.lowercase()]

    /** Returns whether this is a [method] request of [path]. */
    fun matches(method: String, path: String): Boolean = this.method == method && this.path == path
}

/** Returns the body as a [T], or `null` if it is none. */
internal inline fun <reified T> HttpCall.parseOrNull(): T? = try {
    WireFormat.decodeFromString<T>(body)
} catch (_: IllegalArgumentException) {
    null
}

/** Returns the answer to a body that makes no sense. */
internal fun HttpCall.badRequest(): HttpEffect = HttpEffect.Respond(exchangeId, status = 400, body = "unreadable body")
