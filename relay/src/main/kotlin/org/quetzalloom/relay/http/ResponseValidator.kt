package org.quetzalloom.relay.http

import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.toPersistentSet

/**
 * Checks the heads and trailers of responses beyond what their decoder does. A head that another one has been joined to
 * is often well-formed, but has a status line or some headers twice.
 *
 * @param singleHeaders headers that a response has at most once, in addition to those of HTTP.
 */
internal class ResponseValidator(singleHeaders: Set<String>) {
    private val singleHeaders = FRAMING_HEADERS.addAll(singleHeaders)

    /** Returns what is wrong with the head of [response], or `null` if it is sound. */
    fun headProblemOrNull(response: HttpResponse): String? {
        val version = response.protocolVersion()
        return when {
            version != HttpVersion.HTTP_1_1 && version != HttpVersion.HTTP_1_0 -> "the version is $version"
            response.status() == HttpResponseStatus.SWITCHING_PROTOCOLS -> "it switches to another protocol"
            EmbeddedHead.hasStatusLine(response.status().reasonPhrase()) -> "the reason phrase contains a status line"
            else -> headersProblemOrNull(response.headers())
        }
    }

    /** Returns what is wrong with [trailers], or `null` if they are sound. None of them belongs to a head. */
    fun trailersProblemOrNull(trailers: HttpHeaders): String? =
        singleHeaders.find { it in trailers }?.let { "the trailer $it belongs to a head" }
            ?: headersProblemOrNull(trailers)

    private fun headersProblemOrNull(headers: HttpHeaders): String? =
        headers.entries().firstNotNullOfOrNull { (name, value) -> valueProblemOrNull(name, value) }
            ?: singleHeaders.find { headers.getAll(it).size > 1 }?.let { "the header $it comes twice" }
            ?: SINGLE_VALUE_HEADERS.find { headers.getAll(it).distinct().size > 1 }
                ?.let { "the header $it has two values" }

    private fun valueProblemOrNull(name: String, value: String): String? = when {
        EmbeddedHead.hasStatusLine(value) -> "the header $name contains a status line"
        value.any { it.isISOControl() && it < FIRST_ABOVE_ASCII && it != '\t' } -> "the header $name contains a control"
        else -> null
    }

    private companion object {
        /** Bytes from here on are text in a character set that the header does not name. */
        const val FIRST_ABOVE_ASCII = '\u0080'

        val FRAMING_HEADERS: PersistentSet<String> =
            listOf(HttpHeaderNames.CONTENT_LENGTH, HttpHeaderNames.CONTENT_TYPE).map { it.toString() }.toPersistentSet()

        /** Headers that a proxy may repeat with the same value. */
        val SINGLE_VALUE_HEADERS: PersistentSet<String> = listOf(
            HttpHeaderNames.AGE,
            HttpHeaderNames.CONTENT_LOCATION,
            HttpHeaderNames.CONTENT_RANGE,
            HttpHeaderNames.DATE,
            HttpHeaderNames.ETAG,
            HttpHeaderNames.EXPIRES,
            HttpHeaderNames.LAST_MODIFIED,
            HttpHeaderNames.LOCATION,
            HttpHeaderNames.RETRY_AFTER,
        ).map { it.toString() }.toPersistentSet()
    }
}
