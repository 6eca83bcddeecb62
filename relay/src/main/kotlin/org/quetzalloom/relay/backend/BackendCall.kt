package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.EventExecutor
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.SendOrder
import org.quetzalloom.relay.caller.CallerExchange
import org.quetzalloom.relay.http.Countdown

/**
 * One attempt of a request at one backend server. Confined to the loop's thread.
 *
 * An answer is held until it is passed on: the decision is asked for at the head of a stream that succeeds, and at the
 * end of any other answer.
 *
 * @property number the number of the attempt, from 1.
 */
internal class BackendCall(
    val exchange: CallerExchange,
    val number: Int,
    val order: SendOrder,
    private val events: CallEvents,
    executor: EventExecutor,
) {
    private var connection: BackendConnection? = null
    private var held: HeldAnswer? = null
    private var whole = false
    private var passing = false
    private val silence = Countdown(executor)

    private val fallSilent: () -> Unit = {
        connection?.abandon()
        takeFailure(AttemptFailure.SILENT)
    }

    /** Whether the attempt has ended, with or without an answer. */
    var ended = false
        private set

    /** Tells that the request is being sent on [connection]. */
    fun sentOn(connection: BackendConnection) {
        this.connection = connection
        silence.restart(order.startTimeoutMilliseconds, fallSilent)
    }

    /** Takes the head of the answer. */
    fun takeHead(head: HttpResponse) {
        val answer = HeldAnswer(head, mayStream = order.streaming)
        held = answer
        silence.restart(order.idleTimeoutMilliseconds, fallSilent)
        if (answer.streams) events.started(this, head)
    }

    /** Takes a piece of the answer. */
    fun takeBody(bytes: ByteBuf) {
        val answer = held
        if (ended || answer == null) return
        silence.restart(order.idleTimeoutMilliseconds, fallSilent)
        answer.add(bytes)
        if (passing) answer.passReady(exchange.answer)
    }

    /** Takes that the answer is whole. */
    fun takeEnd() {
        val answer = held
        if (ended || answer == null) return
        whole = true
        connection = null
        silence.cancel()
        if (passing) finish(answer) else if (!answer.streams) events.started(this, answer.head)
    }

    /** Takes that nothing more will come. */
    fun takeFailure(failure: AttemptFailure) {
        if (ended) return
        val lastEventId = held?.lastEventId
        end()
        events.broke(this, failure, lastEventId)
    }

    /** Passes the answer on to the caller, from what is held. */
    fun passOn() {
        val answer = held
        if (ended || answer == null) return
        passing = true
        if (answer.streams) answer.passReady(exchange.answer)
        if (whole) finish(answer)
    }

    /** Gives up: closes the connection, as the backend server may still be at work. */
    fun abandon() {
        if (ended) return
        end()
        connection?.abandon()
    }

    /** Stops reading from the backend server while the caller cannot take more. */
    fun pause(paused: Boolean) {
        connection?.paused = paused
    }

    private fun finish(answer: HeldAnswer) {
        if (answer.streams) answer.passEnd(exchange.answer) else answer.passWhole(exchange.answer)
        end()
        events.finished(this)
    }

    private fun end() {
        ended = true
        silence.cancel()
        held?.release()
    }
}
