package org.quetzalloom.relay

import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.relay.backend.BackendCall
import org.quetzalloom.relay.caller.CallerExchange
import org.quetzalloom.relay.caller.ResponseWriter

/** The requests that have not been answered yet, with their bodies. Confined to the loop's thread. */
internal class ExchangeTable {
    private val exchanges = HashMap<ExchangeId, CallerExchange>()
    private var lastId = 0L

    /** Adds a request, whose [body] is released when it is removed. */
    fun add(request: RelayRequest, head: HttpRequest, body: ByteBuf, response: ResponseWriter): CallerExchange {
        val exchange = CallerExchange(ExchangeId(++lastId), request, head, body, response)
        exchanges[exchange.id] = exchange
        return exchange
    }

    /** Returns the request [id], or `null` if it has been answered. */
    fun getOrNull(id: ExchangeId): CallerExchange? = exchanges[id]

    /** Returns the attempt of [id] that is under way, if its number is [attempt], or `null`. */
    fun callOrNull(id: ExchangeId, attempt: Int): BackendCall? = exchanges[id]?.call?.takeIf { it.number == attempt }

    /** Removes the request [id]; returns it, or `null` if it has been removed before. */
    fun remove(id: ExchangeId): CallerExchange? = exchanges.remove(id)?.also { it.body.release() }
}
