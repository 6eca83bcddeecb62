package org.quetzalloom.relay.backend

import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpResponse
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpStatusClass
import io.netty.util.concurrent.EventExecutor
import io.netty.util.concurrent.ScheduledFuture
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.SendOrder
import org.quetzalloom.relay.caller.AnswerWriter
import org.quetzalloom.relay.caller.CallerExchange
import org.quetzalloom.relay.http.withoutConnectionHeaders
import java.util.concurrent.TimeUnit

/**
 * One attempt of a request at one backend server. Confined to the loop's thread.
 *
 * An answer is held until it is passed on: the decision is asked for at the head of a stream that succeeds, and at the end
 * of any other answer.
 *
 * @property number the number of the attempt, from 1.
 */
internal class BackendCall(
    val exchange: CallerExchange,
    val number: Int,
    val order: SendOrder,
    private val events: CallEvents,
    private val executor: EventExecutor,
) {
    private var connection: BackendConnection? = null
    private var head: HttpResponse? = null
    private val held: ByteBuf = Unpooled.buffer(INITIAL_BYTES)
    private val splitter = EventSplitter()
    private var streams = false
    private var whole = false
    private var passing = false
    private var ended = false
    private var timer: ScheduledFuture<*>? = null

    /** Whether the attempt has ended, with or without an answer. */
    val abandoned: Boolean get() = ended

    private val isEvents: Boolean
        get() = head?.headers()?.get(HttpHeaderNames.CONTENT_TYPE)?.startsWith("text/event-stream") ?: false

    /** Tells that the request is being sent on [connection]. */
    fun sentOn(connection: BackendConnection) {
        this.connection = connection
        expect(order.firstSilenceMilliseconds)
    }

    /** Takes the head of the answer. */
    fun takeHead(head: HttpResponse) {
        this.head = head
        streams = order.streaming && head.status().codeClass() == HttpStatusClass.SUCCESS
        expect(order.silenceMilliseconds)
        if (streams) events.started(this, head)
    }

    /** Takes a piece of the answer. */
    fun takeBody(bytes: ByteBuf) {
        if (ended) return
        expect(order.silenceMilliseconds)
        held.writeBytes(bytes)
        if (passing) passHeld()
    }

    /** Takes that the answer is whole. */
    fun takeEnd() {
        if (ended) return
        whole = true
        connection = null
        timer?.cancel(false)
        val first = head
        when {
            passing -> finish()
            !streams && first != null -> events.started(this, first)
        }
    }

    /** Takes that nothing more will come. */
    fun takeFailure(failure: AttemptFailure) {
        if (ended) return
        end()
        events.broke(this, failure, splitter.lastEventId)
    }

    /** Passes the answer on to the caller, from what is held. */
    fun passOn(answer: AnswerWriter) {
        val first = head ?: return
        if (ended) return
        passing = true
        val status = first.status()
        val headers = first.headers().withoutConnectionHeaders()
        if (!streams) return passWhole(answer, status, headers)
        if (!answer.begun) answer.begin(status, headers)
        passHeld()
        if (whole) finish()
    }

    /** Gives up: closes the connection, as the backend server may still be at work. */
    fun abandon() {
        if (ended) return
        end()
        connection?.abandon()
    }

    /** Stops reading from the backend server while the caller cannot take more. */
    fun pause(paused: Boolean) {
        connection?.pause(paused)
    }

    private fun passWhole(answer: AnswerWriter, status: HttpResponseStatus, headers: HttpHeaders) {
        answer.writeWhole(status, headers, held.copy())
        end()
        events.finished(this)
    }

    private fun passHeld() {
        val ready = if (isEvents) splitter.takeWholeEvents(held) else held.readBytes(held.readableBytes())
        if (ready.isReadable) exchange.answer.write(ready) else ready.release()
        held.discardSomeReadBytes()
    }

    private fun finish() {
        if (held.isReadable) exchange.answer.write(held.readBytes(held.readableBytes()))
        exchange.answer.finish()
        end()
        events.finished(this)
    }

    private fun end() {
        ended = true
        timer?.cancel(false)
        held.release()
    }

    private fun expect(milliseconds: Long?) {
        timer?.cancel(false)
        timer = milliseconds?.let {
            executor.schedule({ fallSilent() }, it, TimeUnit.MILLISECONDS)
        }
    }

    private fun fallSilent() {
        if (ended) return
        connection?.abandon()
        takeFailure(AttemptFailure.SILENT)
    }

    private companion object {
        const val INITIAL_BYTES = 1_024
    }
}
