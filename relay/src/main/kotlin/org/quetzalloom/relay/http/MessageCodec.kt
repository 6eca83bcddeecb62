package org.quetzalloom.relay.http

import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import kotlinx.collections.immutable.PersistentSet
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.exchange.SendParameters

/** Encodes and decodes the headers of requests and responses. Each front end has its own. */
public interface MessageCodec {
    /** The headers of the front end that a response has at most once, such as the id of its request. */
    public val singleHeaders: PersistentSet<String>

    /** Decodes the head of a request. Returns a message for the caller if it is invalid. */
    public fun decodeRequest(head: HttpRequest): Result<RelayRequest, String>

    /**
     * Returns the headers of an attempt: those of the caller's request [head], changed as [parameters] require, without
     * hop-by-hop headers and `Content-Length`.
     */
    public fun encodeRequest(head: HttpRequest, parameters: SendParameters): HttpHeaders

    /** Returns whether [response] names [request], another request on the same connection, or none. */
    public fun originOf(response: HttpResponse, request: RelayRequest): ResponseOrigin

    /** Returns whether [headers] name a request, whichever it is. */
    public fun nameRequest(headers: HttpHeaders): Boolean

    /** Decodes the head of a response. */
    public fun decodeResponse(response: HttpResponse): ResponseHead

    /** Adds a header to [headers] that asks the caller to retry after [milliseconds]. */
    public fun encodeRetryAfter(headers: HttpHeaders, milliseconds: Long)
}
