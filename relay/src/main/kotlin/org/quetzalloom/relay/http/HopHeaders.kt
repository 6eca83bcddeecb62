package org.quetzalloom.relay.http

import io.netty.handler.codec.http.DefaultHttpHeadersFactory
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import org.quetzalloom.relay.head.CompactHeaders

/** In lower case. */
private val DROPPED_HEADERS = setOf(
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
    "content-length",
)

/**
 * Returns a copy without the hop-by-hop headers and those that `Connection` names, and without `Expect` and
 * `Content-Length`, which the sender sets anew. Takes a time linear in the size of the headers.
 */
public fun HttpHeaders.withoutHopByHopHeaders(): HttpHeaders {
    val dropped = DROPPED_HEADERS + connectionOptions()
    return if (this is CompactHeaders) CompactHeaders.copyWithout(this, dropped) else defaultCopyWithout(dropped)
}

/** Returns what the `Connection` header names, in lower case. */
private fun HttpHeaders.connectionOptions(): Set<String> =
    getAll(HttpHeaderNames.CONNECTION).asSequence().flatMap { it.splitToSequence(',') }
        .map { it.trim().lowercase() }.toSet()

private fun HttpHeaders.defaultCopyWithout(names: Set<String>): HttpHeaders =
    DefaultHttpHeadersFactory.headersFactory().withValidation(false).newHeaders().also { copy ->
        entries().forEach { (name, value) -> if (name.lowercase() !in names) copy.add(name, value) }
    }
