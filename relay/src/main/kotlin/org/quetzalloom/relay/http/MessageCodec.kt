package org.quetzalloom.relay.http

import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.quetzalloom.core.relay.exchange.AnswerHead
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.SendOrder

/** What the headers of requests and answers mean. Each front end brings its own. */
public interface MessageCodec {
    /** Returns the request whose head is [head], or what is wrong with it in words for the caller. */
    public fun decodeRequest(head: HttpRequest): Result<RelayRequest, String>

    /** Returns the headers to send a request with, without those of the connection and of the body's length. */
    public fun encodeRequest(head: HttpRequest, order: SendOrder): HttpHeaders

    /** Returns whether [response] is one to [request], and not to another request. */
    public fun isResponseTo(request: RelayRequest, response: HttpResponse): Boolean

    /** Returns what [response] says. */
    public fun decodeResponse(response: HttpResponse): AnswerHead

    /** Adds to [headers] what tells the caller to come back after [milliseconds]. */
    public fun encodeRetryAfter(headers: HttpHeaders, milliseconds: Long)
}
