package org.quetzalloom.core.relay.explain

import kotlinx.collections.immutable.toPersistentSet
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.exchange.chooseServerOrNull
import org.quetzalloom.core.relay.exchange.workUntilResponse
import org.quetzalloom.core.relay.forecast.forecastOrNull
import org.quetzalloom.core.relay.server.ServerView
import org.quetzalloom.core.relay.server.connectionShare
import org.quetzalloom.core.relay.server.serversOfChosenVersion
import org.quetzalloom.core.relay.server.withinColdLimit
import org.quetzalloom.core.time.Timestamp

/** The number of servers that are ranked, each by one more choice of the placement. */
private const val MAXIMUM_RANK = 8

/** Returns the known servers of the service of [exchange]: candidates by rank, then the others, by id. */
internal fun RelayState.explainServers(exchange: Exchange, now: Timestamp): List<ServerExplanation> {
    val ranks = ranking(exchange, now).withIndex().associate { (index, server) -> server to index + 1 }
    val ofVersion = serversOfChosenVersion(exchange, now).map { it.listing.id }.toSet()
    return servers.views.values.filter { it.listing.service == exchange.service }
        .map { explainServer(exchange, it, it.listing.id in ofVersion, ranks[it.listing.id], now) }
        .sortedWith(compareBy({ it.exclusions.size }, { it.rank ?: Int.MAX_VALUE }, { it.server }))
}

/** Returns the servers that the placement would choose, each if those before it could not be had. */
private fun RelayState.ranking(exchange: Exchange, now: Timestamp): List<BackendServerId> =
    generateSequence(chooseServerOrNull(exchange, now)?.let { listOf(it.listing.id) }) { chosen ->
        val others = exchange.copy(triedServers = chosen.toPersistentSet())
        chooseServerOrNull(others, now)?.let { chosen + it.listing.id }
    }.take(MAXIMUM_RANK).lastOrNull().orEmpty()

private fun RelayState.explainServer(
    exchange: Exchange,
    view: ServerView,
    ofVersion: Boolean,
    rank: Int?,
    now: Timestamp,
): ServerExplanation {
    val exclusions = exclusions(exchange, view, ofVersion, now)
    return ServerExplanation(
        server = view.listing.id,
        zone = view.listing.zone,
        version = view.listing.version,
        exclusions = exclusions.toPersistentSet(),
        rank = rank,
        forecast = if (exclusions.isEmpty()) forecastOrNull(exchange, view, now) else null,
        slots = view.listing.slots,
        load = view.loadAt(now),
        inFlight = view.inFlight,
        workAhead = workUntilResponse(view, work = 0),
        failureRate = view.failureRateAt(now),
        slowness = view.slowness.factorAt(now),
        loadAgeMilliseconds = if (view.loadReport == null) null else now - view.loadReportedAt,
    )
}

private fun RelayState.exclusions(
    exchange: Exchange,
    view: ServerView,
    ofVersion: Boolean,
    now: Timestamp,
): Set<Exclusion> {
    val ofServer = setOfNotNull(
        Exclusion.DRAINING.takeIf { view.listing.draining },
        Exclusion.LEAVING.takeIf { view.leaving },
        Exclusion.REMOVED.takeIf { view.dropAt != null },
        Exclusion.SUSPENDED.takeIf { now < view.suspendedUntil },
        Exclusion.CLOSED.takeIf { now < view.closedUntil },
        Exclusion.EVACUATED.takeIf { view.listing.zone in servers.evacuatedZones },
    )
    return ofServer + setOfNotNull(
        Exclusion.OTHER_VERSION.takeIf { ofServer.isEmpty() && !ofVersion },
        Exclusion.NO_CONNECTION.takeIf { view.inFlight >= connectionShare(exchange.service) },
        Exclusion.COLD.takeUnless { withinColdLimit(view, now) },
    )
}
