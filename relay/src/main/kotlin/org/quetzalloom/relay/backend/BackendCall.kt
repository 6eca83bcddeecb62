package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.EventExecutor
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.SendOrder
import org.quetzalloom.relay.caller.CallerExchange
import org.quetzalloom.relay.http.RestartableTimer

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
    private val listener: BackendCallListener,
    executor: EventExecutor,
) {
    private var connection: BackendConnection? = null
    private var buffered: BufferedResponse? = null
    private var complete = false
    private var forwarding = false
    private val idleTimer = RestartableTimer(executor)

    private val onIdleTimeout: () -> Unit = {
        connection?.abandon()
        onFailure(AttemptFailure.SILENT)
    }

    /** Whether the attempt has ended, with or without an answer. */
    var ended = false
        private set

    /** Tells that the request is being sent on [connection]. */
    fun onSending(connection: BackendConnection) {
        this.connection = connection
        idleTimer.restart(order.firstSilenceMilliseconds, onIdleTimeout)
    }

    /** Takes the head of the answer. */
    fun onHead(head: HttpResponse) {
        val response = BufferedResponse(head, mayStream = order.streaming)
        buffered = response
        idleTimer.restart(order.silenceMilliseconds, onIdleTimeout)
        if (response.isStream) listener.responseStarted(this, head)
    }

    /** Takes a piece of the answer. */
    fun onBody(bytes: ByteBuf) {
        val response = buffered
        if (ended || response == null) return
        idleTimer.restart(order.silenceMilliseconds, onIdleTimeout)
        response.add(bytes)
        if (forwarding) response.forwardAvailable(exchange.response)
    }

    /** Takes that the answer is whole. */
    fun onEnd() {
        val response = buffered
        if (ended || response == null) return
        complete = true
        connection = null
        idleTimer.cancel()
        if (forwarding) finish(response) else if (!response.isStream) listener.responseStarted(this, response.head)
    }

    /** Takes that nothing more will come. */
    fun onFailure(failure: AttemptFailure) {
        if (ended) return
        val lastEventId = buffered?.lastEventId
        end()
        listener.attemptFailed(this, failure, lastEventId)
    }

    /** Passes the answer on to the caller, from what is held. */
    fun forward() {
        val response = buffered
        if (ended || response == null) return
        forwarding = true
        if (response.isStream) response.forwardAvailable(exchange.response)
        if (complete) finish(response)
    }

    /** Gives up: closes the connection, as the backend server may still be at work. */
    fun abandon() {
        if (ended) return
        end()
        connection?.abandon()
    }

    /** Stops reading from the backend server while the caller cannot take more. */
    fun pauseReading(readingPaused: Boolean) {
        connection?.readingPaused = readingPaused
    }

    private fun finish(response: BufferedResponse) {
        if (response.isStream) response.forwardEnd(exchange.response) else response.forwardWhole(exchange.response)
        end()
        listener.responseForwarded(this)
    }

    private fun end() {
        ended = true
        idleTimer.cancel()
        buffered?.release()
    }
}
