package org.quetzalloom.relay.http

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.quetzalloom.relay.head.CompactHeaders

private val HOP_BY_HOP_HEADERS = listOf(
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
)

/**
 * Returns a copy without the hop-by-hop headers and those that `Connection` names, and without `Expect` and
 * `Content-Length`, which the sender sets anew.
 */
public fun HttpHeaders.withoutHopByHopHeaders(): HttpHeaders {
    val named = getAll(HttpHeaderNames.CONNECTION).flatMap { it.split(',') }.map { it.trim() }
    val dropped = HOP_BY_HOP_HEADERS + named.filter { it.isNotEmpty() }
    val copy = if (this is CompactHeaders) {
        copy()
    } else {
        DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders().add(this)
    }
    dropped.forEach { copy.remove(it) }
    copy.remove(HttpHeaderNames.CONTENT_LENGTH)
    return copy
}
