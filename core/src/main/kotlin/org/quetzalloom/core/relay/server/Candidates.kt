package org.quetzalloom.core.relay.server

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.relay.rollout.RolloutProgress
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.session.isSampled
import org.quetzalloom.core.relay.session.usesNewVersion
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the backend servers that may get [exchange] at [now]: those that are usable, run the version chosen for the
 * exchange, and have a connection and, while cold, a request left in this router's share.
 */
internal fun RelayState.eligibleServers(exchange: Exchange, now: Timestamp): List<ServerView> {
    val connections = connectionShare(exchange.service)
    return serversOfChosenVersion(exchange, now).filter { it.inFlight < connections && withinColdLimit(it, now) }
}

/**
 * Returns the usable backend servers that run the version chosen for [exchange].
 *
 * If all usable servers run one version, it is chosen unless its roll-out was reverted or is to be. If they run
 * several, there may be none of the version chosen, and the exchange waits.
 */
internal fun RelayState.serversOfChosenVersion(exchange: Exchange, now: Timestamp): List<ServerView> {
    val usable = servers.usable(exchange.service, now)
    val versions = usable.map { it.listing.version }.toSet()
    return if (versions.size <= 1) {
        usable.withoutReverted(this, exchange)
    } else {
        usable.ofChosenVersion(this, exchange, now)
    }
}

/**
 * Returns the number of connections, at least 1, that this router may have to a backend server of [service]: an equal
 * share among the routers. Each connection carries one request at a time.
 */
internal fun RelayState.connectionShare(service: ServiceName): Int {
    val connections = routing?.services?.get(service)?.maximumConnections ?: Int.MAX_VALUE
    return (connections / members.routerCount).coerceAtLeast(1)
}

private fun List<ServerView>.withoutReverted(state: RelayState, exchange: Exchange): List<ServerView> {
    val rollout = state.rollouts.byService[exchange.service]
    val revertedVersion = rollout?.takeIf { it.phase == RolloutPhase.REVERTED || it.condemned }?.order?.version
    return filter { it.listing.version != revertedVersion }
}

private fun List<ServerView>.ofChosenVersion(state: RelayState, exchange: Exchange, now: Timestamp): List<ServerView> {
    val rollout = state.rollouts.byService[exchange.service] ?: return ofMostCommonVersion()
    val (new, old) = partition { it.listing.version == rollout.order.version }
    val usesNewVersion = rollout.usesNewVersion(state, exchange, now)
    return if (usesNewVersion) new else old
}

/**
 * Returns the servers of the version that most servers run; on a tie, the one that started first. Without a roll-out
 * order, another version can only belong to a roll-out whose order this router has not read yet.
 */
private fun List<ServerView>.ofMostCommonVersion(): List<ServerView> =
    groupBy { it.listing.version }.values.maxWith(
        compareBy({ it.size }, { -it.minOf { view -> view.listing.startedAt } })
    )

private fun RolloutProgress.usesNewVersion(state: RelayState, exchange: Exchange, now: Timestamp): Boolean = when {
    condemned || phase == RolloutPhase.REVERTED -> false
    phase == RolloutPhase.COMPLETED -> true
    else -> samplesNewVersion(state, exchange, now)
}

private fun RolloutProgress.samplesNewVersion(state: RelayState, exchange: Exchange, now: Timestamp): Boolean {
    val session = exchange.request.session
    return if (session == null) {
        isSampled(exchange.request.callerId ?: exchange.id, stage.share)
    } else {
        state.usesNewVersion(this, session, now)
    }
}
