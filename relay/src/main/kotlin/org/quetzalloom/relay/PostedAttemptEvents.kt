package org.quetzalloom.relay

import io.netty.handler.codec.http.HttpResponse
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.relay.backend.BackendCall
import org.quetzalloom.relay.backend.BackendCallListener
import org.quetzalloom.relay.http.MessageCodec

/**
 * Posts what happens to attempts as events.
 *
 * @param post posts an event to the reducer.
 */
internal class PostedAttemptEvents(
    private val exchanges: ExchangeTable,
    private val codec: MessageCodec,
    private val post: (RelayEvent) -> Unit,
) : BackendCallListener {
    override fun attemptConnected(call: BackendCall): Unit =
        post(RelayEvent.AttemptConnected(call.exchange.id, call.number))

    override fun requestWritten(call: BackendCall): Unit =
        post(RelayEvent.RequestWritten(call.exchange.id, call.number))

    override fun responseStarted(call: BackendCall, head: HttpResponse): Unit =
        post(RelayEvent.ResponseStarted(call.exchange.id, call.number, codec.decodeResponse(head)))

    override fun responseProgressed(call: BackendCall, events: Int): Unit =
        post(RelayEvent.ResponseProgressed(call.exchange.id, call.number, events))

    override fun responseForwarded(call: BackendCall, events: Int) {
        post(RelayEvent.ResponseFinished(call.exchange.id, call.number, events))
        exchanges.remove(call.exchange.id)
    }

    override fun attemptStalled(call: BackendCall, lastEventId: String?): Unit =
        post(RelayEvent.AttemptStalled(call.exchange.id, call.number, lastEventId))

    override fun attemptFailed(
        call: BackendCall,
        failure: AttemptFailure,
        lastEventId: String?,
        detail: String?,
    ): Unit = post(RelayEvent.AttemptFailed(call.exchange.id, call.number, failure, lastEventId, detail))
}
