package org.quetzalloom.relay.backend

import io.netty.handler.codec.http.HttpResponse
import org.quetzalloom.core.relay.exchange.AttemptFailure

/** Receives the progress of an attempt. */
internal interface BackendCallListener {
    /** A new connection for the attempt has been established; its request is written next. */
    fun attemptConnected(call: BackendCall)

    /** The request of the attempt has been written, which took more than one write. */
    fun requestWritten(call: BackendCall)

    /** The head of a successful stream has arrived, or any other response is complete. */
    fun responseStarted(call: BackendCall, head: HttpResponse)

    /** [events] events of the response have been written to the caller, enough to measure the time between them. */
    fun responseProgressed(call: BackendCall, events: Int)

    /** The complete response, with [events] events, has been written to the caller. */
    fun responseForwarded(call: BackendCall, events: Int)

    /**
     * The response has not begun, or not continued, within its timeout. The attempt goes on. [lastEventId] is the id of
     * the last event that it forwarded, or `null` if none.
     */
    fun attemptStalled(call: BackendCall, lastEventId: String?)

    /**
     * The attempt has failed. [lastEventId] is the id of the last event that it forwarded, or `null` if none, and
     * [detail] says what was wrong with the response, or is `null` if [failure] says it all.
     */
    fun attemptFailed(call: BackendCall, failure: AttemptFailure, lastEventId: String?, detail: String?)
}
