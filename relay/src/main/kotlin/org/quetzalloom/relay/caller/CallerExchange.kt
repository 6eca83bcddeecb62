package org.quetzalloom.relay.caller

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.relay.backend.BackendCall

/**
 * A request that has been read whole, and what is under way for it. Confined to the loop's thread.
 *
 * @property body the whole body; released with the exchange.
 */
internal class CallerExchange(
    val id: ExchangeId,
    val request: RelayRequest,
    val head: HttpRequest,
    val body: ByteBuf,
    val response: ResponseWriter,
) {
    /** The attempt under way, or `null`. */
    var call: BackendCall? = null
}
