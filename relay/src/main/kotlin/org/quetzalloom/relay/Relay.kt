package org.quetzalloom.relay

import com.github.michaelbull.result.fold
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpRequest
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.time.Clock
import org.quetzalloom.relay.backend.BackendCall
import org.quetzalloom.relay.backend.BackendPool
import org.quetzalloom.relay.backend.CallEvents
import org.quetzalloom.relay.caller.AnswerWriter
import org.quetzalloom.relay.caller.CallerExchange
import org.quetzalloom.relay.caller.CallerFront
import org.quetzalloom.relay.caller.CallerHandler
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.report.Reporter

/**
 * The requests of callers and their attempts, between the sockets and the reducer. Confined to the loop's thread.
 *
 * @param post hands an event to the reducer.
 */
internal class Relay(
    private val group: EventLoopGroup,
    private val executor: EventLoop,
    private val codec: MessageCodec,
    private val reporter: Reporter,
    clock: Clock,
    private val post: (RelayEvent) -> Unit,
) : CallerHandler, CallEvents {
    private val front = CallerFront(this)
    private val pool = BackendPool(group, codec, clock)
    private val exchanges = HashMap<ExchangeId, CallerExchange>()
    private var lastId = 0L

    /** Connections of callers that are open. */
    val callerConnections: Int get() = front.size

    /** Connections to backend servers that are open. */
    val backendConnections: Int get() = pool.size

    /** Connections to backend servers that were made. */
    val backendConnectionsMade: Long get() = pool.made

    /** Listens for callers at [address]. */
    fun listen(address: Address): Unit = front.listen(group, address)

    /** Closes backend connections that have been idle for too long. */
    fun prune(): Unit = pool.prune()

    /** Carries out [effect], if it concerns requests or connections. */
    fun carryOut(effect: RelayEffect) {
        when (effect) {
            is RelayEffect.Send -> send(effect)
            is RelayEffect.PassOn -> current(effect.exchange, effect.attempt)?.let { it.passOn(it.exchange.answer) }
            is RelayEffect.Abandon -> current(effect.exchange, effect.attempt)?.abandon()
            is RelayEffect.Refuse -> refuse(effect)
            is RelayEffect.CutOff -> forget(effect.exchange)?.answer?.cutOff()
            is RelayEffect.ApplyLimits -> front.limits = effect.limits
            RelayEffect.CloseAfterAnswers -> front.stop(group, IDLE_CLOSE_MILLISECONDS)
            else -> Unit
        }
    }

    override fun arrived(head: HttpRequest, body: ByteBuf, answer: AnswerWriter): CallerExchange? =
        codec.decodeRequest(head).fold(
            success = { arrived(it, head, body, answer) },
            failure = { problem ->
                body.release()
                refuse(answer, ErrorKind.MALFORMED, problem, null)
                null
            },
        )

    override fun callerLeft(exchange: CallerExchange) {
        if (exchange.id !in exchanges) return
        post(RelayEvent.CallerLeft(exchange.id))
        forget(exchange.id)
    }

    override fun refuse(answer: AnswerWriter, kind: ErrorKind, detail: String, retryAfterMilliseconds: Long?) {
        reporter.countRefusal(kind)
        val headers = DefaultHttpHeaders().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8")
        retryAfterMilliseconds?.let { codec.encodeRetryAfter(headers, it) }
        val body = Unpooled.copiedBuffer("${kind.code}: $detail\n", Charsets.UTF_8)
        answer.writeWhole(HttpResponseStatus.valueOf(kind.status), headers, body)
    }

    override fun reportProblem(name: String, cause: Throwable): Unit = reporter.problem(name, cause)

    override fun started(call: BackendCall, head: HttpResponse): Unit =
        post(RelayEvent.AnswerStarted(call.exchange.id, call.number, codec.decodeAnswer(head)))

    override fun finished(call: BackendCall) {
        post(RelayEvent.AnswerFinished(call.exchange.id, call.number))
        forget(call.exchange.id)
    }

    override fun broke(call: BackendCall, failure: AttemptFailure, lastEventId: String?): Unit =
        post(RelayEvent.AttemptBroke(call.exchange.id, call.number, failure, lastEventId))

    private fun arrived(
        request: RelayRequest,
        head: HttpRequest,
        body: ByteBuf,
        answer: AnswerWriter,
    ): CallerExchange? {
        val exchange = CallerExchange(ExchangeId(++lastId), request, head, body, answer)
        exchanges[exchange.id] = exchange
        post(RelayEvent.RequestArrived(exchange.id, request))
        return exchanges[exchange.id]
    }

    private fun send(effect: RelayEffect.Send) {
        val exchange = exchanges[effect.exchange] ?: return
        val call = BackendCall(exchange, effect.attempt, effect.order, this, executor)
        exchange.call = call
        pool.send(call)
    }

    private fun refuse(effect: RelayEffect.Refuse) {
        val exchange = forget(effect.exchange) ?: return
        refuse(exchange.answer, effect.kind, effect.detail, effect.retryAfterMilliseconds)
    }

    private fun current(id: ExchangeId, attempt: Int): BackendCall? =
        exchanges[id]?.call?.takeIf { it.number == attempt }

    private fun forget(id: ExchangeId): CallerExchange? {
        val exchange = exchanges.remove(id) ?: return null
        exchange.body.release()
        return exchange
    }

    private companion object {
        /** Idle connections are closed this long after readiness is gone, when no more new ones come. */
        const val IDLE_CLOSE_MILLISECONDS = 2_500L
    }
}
