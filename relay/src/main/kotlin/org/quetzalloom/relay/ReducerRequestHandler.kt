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
import org.quetzalloom.relay.head.CompactHeaders
import org.quetzalloom.relay.head.HeadMemoryException
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
            success = { request ->
                if (reservePrompt(request, head)) {
                    onRequest(request.copy(contentHash = contentHash(head, body)), head, body, response)
                } else {
                    body.release()
                    refuse(response, ErrorKind.OVERLOADED, NO_MEMORY, MEMORY_RETRY_MILLISECONDS)
                    null
                }
            },
            failure = { problem ->
                body.release()
                refuse(response, ErrorKind.MALFORMED, problem, retryAfterMilliseconds = null)
                null
            },
        )

    /** Counts the memory of the prompt of [request] with that of its [head]. Returns whether there is room for it. */
    private fun reservePrompt(request: RelayRequest, head: HttpRequest): Boolean = try {
        (head.headers() as? CompactHeaders)?.reserve(request.prompt.size * PROMPT_PART_BYTES)
        true
    } catch (_: HeadMemoryException) {
        false
    }

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

    private companion object {
        /** About what the objects of one part of a prompt take. */
        const val PROMPT_PART_BYTES = 128
        const val NO_MEMORY = "other requests take the memory of this router"
        const val MEMORY_RETRY_MILLISECONDS = 500L
    }
}
