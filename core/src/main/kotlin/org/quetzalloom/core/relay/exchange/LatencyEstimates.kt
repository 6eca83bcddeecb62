package org.quetzalloom.core.relay.exchange

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.model.ModelLatencyEstimate
import org.quetzalloom.core.relay.server.PrefillPace
import org.quetzalloom.core.relay.server.ServerView
import org.quetzalloom.core.relay.server.eligibleServers
import org.quetzalloom.core.time.Timestamp

/** Returns the eligible backend servers that have neither failed nor refused [exchange]. */
internal fun RelayState.untriedServers(exchange: Exchange, now: Timestamp): List<ServerView> =
    eligibleServers(exchange, now).filter { it.listing.id !in exchange.triedServers }

/**
 * Returns the work at the server of [view] before an attempt with [work] of its own would be answered: the prompts to
 * be read for this router and, as far as they have reported, for the others, plus [work].
 */
internal fun RelayState.workUntilResponse(view: ServerView, work: Long): Long =
    view.pendingWork + peers.workAt(view.listing.id) + work

/**
 * Estimates how soon each model of the route could begin to answer [exchange]. Returns `null` if no backend server can
 * take it now. While the prefill pace of the service is unknown, prompts count as read in no time.
 */
internal fun RelayState.latencyEstimateOrNull(exchange: Exchange, now: Timestamp): ModelLatencyEstimate? {
    val byQueue = untriedServers(exchange, now).sortedBy { workUntilResponse(it, work = 0) * it.workDurationOrUsual }
    val best = byQueue.firstOrNull() ?: return null
    val pace = servers.prefillPaces[exchange.service] ?: PrefillPace()
    fun readingTime(view: ServerView, work: Long): Long =
        ((pace.estimateOrNull(workUntilResponse(view, work)) ?: 0) * view.workDurationOrUsual).toLong()
    return ModelLatencyEstimate(
        elapsedMilliseconds = now - exchange.arrivedAt,
        queueMilliseconds = readingTime(best, work = 0),
        medianQueueMilliseconds = readingTime(byQueue[byQueue.size / 2], work = 0),
        waitsMilliseconds = exchange.route.models.indices
            .map { readingTime(best, policies.workEstimate.of(exchange.request, it)) }
            .toPersistentList(),
    )
}
