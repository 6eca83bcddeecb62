package org.quetzalloom.relay

import io.netty.channel.EventLoop
import io.netty.channel.EventLoopGroup
import io.netty.handler.codec.http.HttpResponse
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.time.Clock
import org.quetzalloom.relay.backend.BackendCall
import org.quetzalloom.relay.backend.BackendPool
import org.quetzalloom.relay.backend.CallEvents
import org.quetzalloom.relay.caller.CallerFront
import org.quetzalloom.relay.http.Address
import org.quetzalloom.relay.http.MessageCodec
import org.quetzalloom.relay.report.Reporter

/**
 * The connections of callers and to backend servers, between sockets and reducer. Confined to the loop's thread.
 *
 * @param post hands an event to the reducer.
 */
internal class Relay(
    private val group: EventLoopGroup,
    private val executor: EventLoop,
    private val codec: MessageCodec,
    reporter: Reporter,
    clock: Clock,
    private val post: (RelayEvent) -> Unit,
) : CallEvents {
    private val exchanges = ExchangeTable()
    private val callers = Callers(exchanges, codec, reporter, post)
    private val front = CallerFront(callers)
    private val pool = BackendPool(group, codec, clock)

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
            is RelayEffect.ForwardAnswer -> exchanges.callOrNull(effect.exchange, effect.attempt)?.passOn()
            is RelayEffect.CancelAttempt -> exchanges.callOrNull(effect.exchange, effect.attempt)?.abandon()
            is RelayEffect.Refuse -> callers.refuse(effect)
            is RelayEffect.CutOff -> exchanges.remove(effect.exchange)?.answer?.cutOff()
            is RelayEffect.ApplyLimits -> front.limits = effect.limits
            RelayEffect.DrainConnections -> front.stop(group, IDLE_CLOSE_MILLISECONDS)
            else -> Unit
        }
    }

    override fun started(call: BackendCall, head: HttpResponse): Unit =
        post(RelayEvent.AnswerStarted(call.exchange.id, call.number, codec.decodeAnswer(head)))

    override fun finished(call: BackendCall) {
        post(RelayEvent.AnswerFinished(call.exchange.id, call.number))
        exchanges.remove(call.exchange.id)
    }

    override fun broke(call: BackendCall, failure: AttemptFailure, lastEventId: String?): Unit =
        post(RelayEvent.AttemptFailed(call.exchange.id, call.number, failure, lastEventId))

    private fun send(effect: RelayEffect.Send) {
        val exchange = exchanges.getOrNull(effect.exchange) ?: return
        val call = BackendCall(exchange, effect.attempt, effect.order, this, executor)
        exchange.call = call
        pool.send(call)
    }

    private companion object {
        /** Idle connections are closed this long after readiness is gone, when no more new ones come. */
        const val IDLE_CLOSE_MILLISECONDS = 2_500L
    }
}
