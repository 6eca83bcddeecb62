package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.relay.backend.BackendCall
import org.quetzalloom.relay.backend.BackendConnection

/**
 * A complete request with its response and its current attempt. Confined to the event loop's thread.
 *
 * @property body the complete body; released when the exchange is removed from its table.
 */
internal class CallerExchange(
    val id: ExchangeId,
    val request: RelayRequest,
    val head: HttpRequest,
    val body: ByteBuf,
    val response: ResponseWriter,
) {
    /** The latest attempt, or `null` before the first. */
    var call: BackendCall? = null

    /**
     * The connections that carried an attempt. On one of them, a late copy of the response to that attempt would be
     * taken for the response to a later one, which has the same id.
     */
    var connections: PersistentSet<BackendConnection> = persistentSetOf()
}
