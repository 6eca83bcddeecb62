package org.quetzalloom.core.relay.exchange

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.model.ModelOutlook
import org.quetzalloom.core.relay.server.ReadingPace
import org.quetzalloom.core.relay.server.ServerView
import org.quetzalloom.core.relay.server.allowed
import org.quetzalloom.core.time.Timestamp

/** Returns the backend servers that may get the next attempt of [exchange]. */
internal fun RelayState.untriedServers(exchange: Exchange, now: Timestamp): List<ServerView> =
    allowed(exchange, now).filter { it.listing.id !in exchange.tried }

/** Returns the prompts to be read at [view] before an attempt that is [work] would be answered, itself among them. */
internal fun RelayState.workUntilAnswer(view: ServerView, work: Long, now: Timestamp): Long =
    view.work + peers.workAt(view.listing.id, now) + work

/** Returns how soon each model could answer [exchange], or `null` if no backend server could take it now. */
internal fun RelayState.outlookOrNull(exchange: Exchange, now: Timestamp): ModelOutlook? {
    val least = untriedServers(exchange, now).minOfOrNull { workUntilAnswer(it, work = 0, now) } ?: return null
    val pace = servers.paces[exchange.service] ?: ReadingPace()
    fun wait(ahead: Long): Long = pace.estimateOrNull(ahead) ?: 0
    return ModelOutlook(
        elapsedMilliseconds = now - exchange.arrivedAt,
        queueMilliseconds = wait(least),
        waitsMilliseconds = exchange.route.models.indices
            .map { wait(least + policies.work.of(exchange.request, it)) }
            .toPersistentList(),
    )
}
