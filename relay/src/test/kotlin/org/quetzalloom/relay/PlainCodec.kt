package org.quetzalloom.relay

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import org.quetzalloom.core.relay.exchange.AnswerHead
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.SendOrder
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.http.withoutConnectionHeaders

/** Headers of a front end that is no platform's: an id that is echoed, and a time. */
object PlainCodec : MessageCodec {
    override fun decodeRequest(head: HttpRequest): Result<RelayRequest, String> {
        val id = head.headers().get("Id") ?: return Err("the header Id is missing")
        return Ok(
            RelayRequest(
                callerId = id,
                host = head.headers().get("Host"),
                path = head.uri().substringBefore('?'),
                lastEventId = head.headers().get("Last-Event-Id"),
            ),
        )
    }

    override fun encodeRequest(head: HttpRequest, order: SendOrder): HttpHeaders {
        val headers = head.headers().withoutConnectionHeaders()
        order.lastEventId?.let { headers.set("Last-Event-Id", it) }
        return headers
    }

    override fun belongs(request: RelayRequest, answer: HttpResponse): Boolean =
        answer.headers().get("Id") == request.callerId

    override fun decodeAnswer(answer: HttpResponse): AnswerHead =
        AnswerHead(status = answer.status().code(), notRun = answer.headers().contains("Not-Run"))

    override fun encodeRetryAfter(headers: HttpHeaders, milliseconds: Long) {
        headers.set("Retry-After", milliseconds)
    }
}
