package org.quetzalloom.core.relay.exchange

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.relay.routing.ServiceName

/**
 * The requests that have not been answered completely.
 *
 * @property budgets the retry budget of each service that has had a request.
 */
internal data class ExchangesState(
    val byId: PersistentMap<ExchangeId, Exchange> = persistentMapOf(),
    val budgets: PersistentMap<ServiceName, RetryBudget> = persistentMapOf(),
) {
    /** Returns the exchange [id] with its attempt [number], or `null` if that attempt is not in flight. */
    fun currentOrNull(id: ExchangeId, number: Int): CurrentAttempt? {
        val exchange = byId[id]
        val attempt = exchange?.attempt?.takeIf { it.number == number }
        return if (attempt == null) null else CurrentAttempt(exchange, attempt)
    }

    /** Returns the state with [exchange]. */
    fun with(exchange: Exchange): ExchangesState = copy(byId = byId.put(exchange.id, exchange))

    /** Returns the state without the exchange [id]. */
    fun without(id: ExchangeId): ExchangesState = copy(byId = byId.remove(id))
}
