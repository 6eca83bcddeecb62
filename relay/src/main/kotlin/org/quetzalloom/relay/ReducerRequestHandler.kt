package org.quetzalloom.relay

import com.github.michaelbull.result.fold
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponseStatus
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.relay.caller.CallerExchange
import org.quetzalloom.relay.caller.RequestHandler
import org.quetzalloom.relay.caller.ResponseWriter
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.http.contentHash
import org.quetzalloom.relay.report.Reporter

/**
 * Posts callers' requests and disconnections to the reducer, and writes the error responses that the relay generates.
 *
 * @param post posts an event to the reducer.
 */
internal class ReducerRequestHandler(
    private val exchanges: ExchangeTable,
    private val codec: MessageCodec,
    private val reporter: Reporter,
    private val post: (RelayEvent) -> Unit,
) : RequestHandler {
    /** Writes the error response of [effect], unless its exchange has ended. */
    fun refuse(effect: RelayEffect.Refuse) {
        val exchange = exchanges.remove(effect.exchange) ?: return
        refuse(exchange.response, effect.kind, effect.detail, effect.retryAfterMilliseconds)
    }

    /** Aborts the response of the exchange of [effect], or writes its error response if none has begun. */
    fun abort(effect: RelayEffect.AbortResponse) {
        val response = exchanges.remove(effect.exchange)?.response ?: return
        if (response.headWritten) {
            response.abort()
        } else {
            refuse(response, effect.kind, effect.detail, retryAfterMilliseconds = null)
        }
    }

    override fun onRequest(head: HttpRequest, body: ByteBuf, response: ResponseWriter): CallerExchange? =
        codec.decodeRequest(head).fold(
            success = { onRequest(it.copy(contentHash = contentHash(head, body)), head, body, response) },
            failure = { problem ->
                body.release()
                refuse(response, ErrorKind.MALFORMED, problem, retryAfterMilliseconds = null)
                null
            },
        )

    override fun onCallerDisconnected(exchange: CallerExchange) {
        if (exchanges.getOrNull(exchange.id) == null) return
        post(RelayEvent.CallerLeft(exchange.id))
        exchange.call?.abandon()
        exchanges.remove(exchange.id)
    }

    override fun refuse(response: ResponseWriter, kind: ErrorKind, detail: String, retryAfterMilliseconds: Long?) {
        reporter.countRefusal(kind)
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        retryAfterMilliseconds?.let { codec.encodeRetryAfter(headers, it) }
        val body = Unpooled.copiedBuffer("${kind.code}: $detail\n", Charsets.UTF_8)
        response.writeWhole(HttpResponseStatus.valueOf(kind.status), headers, body)
    }

    override fun reportProblem(name: String, cause: Throwable): Unit = reporter.reportProblem(name, cause)

    private fun onRequest(
        request: RelayRequest,
        head: HttpRequest,
        body: ByteBuf,
        response: ResponseWriter,
    ): CallerExchange? {
        val exchange = exchanges.add(request, head, body, response)
        post(RelayEvent.RequestArrived(exchange.id, request))
        return exchanges.getOrNull(exchange.id)
    }
}
