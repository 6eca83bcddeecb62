package org.quetzalloom.relay

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.relay.exchange.SendParameters
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.http.ResponseOrigin
import org.quetzalloom.relay.http.withoutHopByHopHeaders

/** A minimal codec for tests: a request carries an `Id` header, which backend servers echo. */
object PlainCodec : MessageCodec {
    override val singleHeaders = persistentSetOf("Id", "Sig")

    override fun decodeRequest(head: HttpRequest): Result<RelayRequest, String> {
        val id = head.headers().get("Id") ?: return Err("the header Id is missing")
        return Ok(
            RelayRequest(
                callerId = id,
                host = head.headers().get("Host"),
                path = head.uri().substringBefore('?'),
                lastEventId = head.headers().get("Last-Event-Id"),
                earlierRuns = head.headers().get("Earlier-Runs")?.toInt(),
            ),
        )
    }

    override fun encodeRequest(head: HttpRequest, parameters: SendParameters): HttpHeaders {
        val headers = head.headers().withoutHopByHopHeaders()
        parameters.lastEventId?.let { headers.set("Last-Event-Id", it) }
        headers.remove("Earlier-Runs")
        if (parameters.server == null) headers.set("Earlier-Runs", parameters.earlierRuns).set("Connection", "close")
        return headers
    }

    override fun originOf(response: HttpResponse, request: RelayRequest): ResponseOrigin =
        if (response.headers().get("Id") == request.callerId) {
            ResponseOrigin.THIS_REQUEST
        } else {
            ResponseOrigin.OTHER_REQUEST
        }

    override fun nameRequest(headers: HttpHeaders): Boolean = headers.contains("Id")

    override fun decodeResponse(response: HttpResponse): ResponseHead =
        ResponseHead(status = response.status().code(), notRun = response.headers().contains("Not-Run"))

    override fun encodeRetryAfter(headers: HttpHeaders, milliseconds: Long) {
        headers.set("Retry-After", milliseconds)
    }
}
