package org.quetzalloom.relay.backend

import io.netty.handler.codec.http.HttpResponse
import org.quetzalloom.core.relay.exchange.AttemptFailure

/** What an attempt tells of its progress. */
internal interface BackendCallListener {
    /** The answer has begun with [head]; unless it is a stream, it is whole. */
    fun responseStarted(call: BackendCall, head: HttpResponse)

    /** The whole answer has been passed on. */
    fun responseForwarded(call: BackendCall)

    /** No whole answer will come; the caller has the events up to [lastEventId]. */
    fun attemptFailed(call: BackendCall, failure: AttemptFailure, lastEventId: String?)
}
