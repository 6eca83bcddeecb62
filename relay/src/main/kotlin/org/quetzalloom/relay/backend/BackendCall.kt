package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpResponse
import io.netty.util.concurrent.EventExecutor
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.SendParameters
import org.quetzalloom.relay.caller.CallerExchange
import org.quetzalloom.relay.http.MessageCodec

/**
 * One attempt to serve a request at one backend server. Confined to the event loop's thread.
 *
 * The response is buffered until [forward] is called. [listener] is asked for that decision when the head of a
 * successful stream has arrived, and when any other response is complete.
 *
 * @param effect asks for the attempt.
 * @param codec tells the headers of a response inside an event from other lines.
 */
internal class BackendCall(
    val exchange: CallerExchange,
    private val effect: RelayEffect.Send,
    private val codec: MessageCodec,
    val listener: BackendCallListener,
    private val memory: ResponseMemory,
    executor: EventExecutor,
) {
    /** The number of the attempt within its exchange, starting at 1. */
    val number: Int get() = effect.attempt

    /** Where and how the attempt is sent. */
    val parameters: SendParameters get() = effect.parameters
    private var connection: BackendConnection? = null
    private var buffered: BufferedResponse? = null
    private var complete = false
    private var forwarding = false
    private val stallTimer = StallTimer(executor) { listener.attemptStalled(this, buffered?.lastEventId) }

    /**
     * Whether the response is not being read, so that it is read no faster than the caller reads it (backpressure). The
     * idle timeout does not run meanwhile, as the backend server is not the one that is waited for.
     *
     * Setting it has no effect before the head of the response, and after its end. A stream begins paused if the caller
     * has not read the responses before it.
     */
    var readingPaused = false
        set(value) {
            if (ended || complete || buffered == null) return
            field = value
            connection?.readingPaused = value
            stallTimer.suspended = value
        }

    /** The memory that the response takes while it is being read; 0 once it is complete. */
    val memoryBytes: Int
        get() = if (ended || complete) 0 else (buffered?.memoryBytes ?: 0) + (connection?.headBytes ?: 0)

    /** Whether the response is forwarded event by event, each of which is validated. */
    val forwardsEvents: Boolean get() = buffered?.let { it.isStream && it.isEventStream } ?: false

    /** Whether the attempt has ended: its response was forwarded, it failed or it was abandoned. */
    var ended = false
        private set

    /** Handles the start of sending on [connection]. Starts the timeout for the first byte of the response. */
    fun onSending(connection: BackendConnection) {
        this.connection = connection
        stallTimer.restart(parameters.startTimeoutMilliseconds)
    }

    /** Handles the head of the response. Restarts the idle timeout. */
    fun onHead(head: HttpResponse) {
        // The caller may resume a stream too. On other routes a server may begin it again.
        val previousId = parameters.lastEventId.takeIf { parameters.resumable }
        val splitter = EventSplitter(codec::nameRequest, previousId, requiresId = exchange.response.headWritten)
        val response = BufferedResponse(head, mayStream = parameters.streaming, splitter, memory)
        buffered = response
        stallTimer.restart(parameters.idleTimeoutMilliseconds)
        if (!response.isStream) return
        if (!exchange.response.isWritable) readingPaused = true
        listener.responseStarted(this, head)
    }

    /**
     * Handles [bytes] of the response body. Restarts the idle timeout if the caller gets something. Ends the attempt if
     * too much would have to be buffered, and others if all responses together take too much memory. The caller keeps
     * ownership of [bytes].
     */
    fun onBody(bytes: ByteBuf) {
        val response = buffered
        if (ended || response == null) return
        response.add(bytes)
        val forwarded = forwarding && forwardAvailable(response)
        if (!forwarding || forwarded) stallTimer.restart(parameters.idleTimeoutMilliseconds)
        if (response.isTooLarge) abandon(AttemptFailure.TOO_LARGE)
        memory.enforceLimit()
    }

    /** Handles the end of the response. A stream that ends inside an event has been broken off. */
    fun onEnd() {
        val response = buffered
        if (ended || response == null) return
        complete = true
        connection = null
        stallTimer.cancel()
        when {
            response.isStream && response.endsInsideEvent -> onFailure(AttemptFailure.CONNECTION_LOST)
            forwarding -> finish(response)
            !response.isStream -> listener.responseStarted(this, response.head)
        }
    }

    /** Ends the attempt with [failure], unless it has ended already. [detail] is for logs. */
    fun onFailure(failure: AttemptFailure, detail: String? = null) {
        if (ended) return
        val lastEventId = buffered?.lastEventId
        end()
        listener.attemptFailed(this, failure, lastEventId, detail)
    }

    /**
     * Forwards the response to the caller: what is buffered at once, and the rest of a stream as it arrives. If the
     * caller has received the first part of a stream, a response that does not continue it fails the attempt. So does
     * an event that cannot belong to the stream.
     */
    fun forward() {
        val response = buffered
        if (ended || response == null) return
        forwarding = true
        val mayContinue = response.isEventStream && parameters.lastEventId != null
        if (exchange.response.headWritten && !mayContinue) {
            return abandon(AttemptFailure.BAD_ANSWER, "it does not continue the stream")
        }
        if (response.isStream) forwardAvailable(response)
        if (complete && !ended) finish(response)
    }

    /**
     * Abandons the attempt, with [failure] unless it is `null`. Closes its connection, because the backend server may
     * still be working on the request. [detail] is for logs.
     */
    fun abandon(failure: AttemptFailure? = null, detail: String? = null) {
        if (ended) return
        connection?.abandon()
        if (failure == null) end() else onFailure(failure, detail)
    }

    /** Forwards what can be forwarded now. Returns whether that is anything, and the attempt goes on. */
    private fun forwardAvailable(response: BufferedResponse): Boolean {
        val before = response.eventCount
        val anything = response.forwardAvailable(exchange.response)
        val progressed = before < RelayEvent.ResponseProgressed.EVENTS
        if (progressed && response.eventCount >= RelayEvent.ResponseProgressed.EVENTS) {
            listener.responseProgressed(this, response.eventCount)
        }
        response.eventProblem?.let { abandon(AttemptFailure.BAD_ANSWER, it) }
        return anything && !ended
    }

    private fun finish(response: BufferedResponse) {
        if (response.isStream) response.forwardEnd(exchange.response) else response.forwardWhole(exchange.response)
        val events = response.eventCount
        end()
        listener.responseForwarded(this, events)
    }

    private fun end() {
        ended = true
        stallTimer.cancel()
        buffered?.release()
    }
}
