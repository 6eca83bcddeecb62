package org.quetzalloom.relay

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.relay.backend.BackendCall
import org.quetzalloom.relay.caller.CallerExchange
import org.quetzalloom.relay.caller.ResponseWriter

/**
 * Holds the open exchanges: requests whose response has not been written completely, with their bodies.
 *
 * Confined to the event loop's thread.
 */
internal class ExchangeTable {
    private val exchanges = HashMap<ExchangeId, CallerExchange>()
    private var lastId = 0L

    /** Adds an exchange under a new id and returns it. Takes ownership of [body]; [remove] releases it. */
    fun add(request: RelayRequest, head: HttpRequest, body: ByteBuf, response: ResponseWriter): CallerExchange {
        val exchange = CallerExchange(ExchangeId(++lastId), request, head, body, response)
        exchanges[exchange.id] = exchange
        return exchange
    }

    /** Returns the exchange [id], or `null` if it has been removed. */
    fun getOrNull(id: ExchangeId): CallerExchange? = exchanges[id]

    /**
     * Returns the attempt number [attempt] of the exchange [id], or `null` if it is not the latest one or the exchange
     * has been removed.
     */
    fun callOrNull(id: ExchangeId, attempt: Int): BackendCall? = exchanges[id]?.call?.takeIf { it.number == attempt }

    /** Returns the attempt whose unfinished response takes the most memory, or `null` if none takes any. */
    fun largestCallOrNull(): BackendCall? =
        exchanges.values.mapNotNull { it.call }.maxByOrNull { it.memoryBytes }?.takeIf { it.memoryBytes > 0 }

    /** Removes the exchange [id] and releases its body. Returns it, or `null` if it had been removed before. */
    fun remove(id: ExchangeId): CallerExchange? = exchanges.remove(id)?.also { it.body.release() }
}
