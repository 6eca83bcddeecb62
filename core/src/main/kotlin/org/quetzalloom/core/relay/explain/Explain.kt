package org.quetzalloom.core.relay.explain

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayReducer
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.exchange.ExchangeId
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.session.sessionHash
import org.quetzalloom.core.time.Timestamp

/** The id of the exchange that is never begun. Those of callers count up from 0. */
private val HYPOTHETICAL = ExchangeId(Long.MIN_VALUE)

/** The maximum number of servers that are described. */
private const val MAXIMUM_SERVERS = 64

/**
 * Explains where [request] would go if it arrived at [now], without sending it.
 *
 * The verdict is that of the reducer itself, whose next state and effects are dropped. The work grows with the number
 * of servers of the service.
 */
public fun RelayState.explain(request: RelayRequest, now: Timestamp): Explanation {
    val step = RelayReducer.reduce(this, RelayEvent.RequestArrived(HYPOTHETICAL, request), now)
    val exchange = step.state.exchanges.byId[HYPOTHETICAL]?.copy(attempt = null, attempts = 0)
    val servers = exchange?.let { explainServers(it, now) }.orEmpty()
    return Explanation(
        verdict = verdict(step, now),
        route = routing?.routeOrNull(request.host, request.path)?.name,
        service = exchange?.service,
        workspace = request.key?.let { routing?.workspacesByKey?.get(it) },
        rollout = exchange?.let { explainRollout(it, now) },
        servers = servers.take(MAXIMUM_SERVERS).toPersistentList(),
        serverCount = servers.size,
        exclusionCounts = servers.flatMap { it.exclusions }.groupingBy { it }.eachCount().toPersistentMap(),
        beliefs = beliefs(now),
    )
}

private fun verdict(step: Transition<RelayState, RelayEffect>, now: Timestamp): Verdict {
    val exchange = step.state.exchanges.byId[HYPOTHETICAL]
    val attempt = exchange?.attempt
    return when {
        exchange == null -> refusalOrNull(step) ?: error("a request that has ended was refused")
        attempt != null -> Verdict.Sent(attempt.server, attempt.version, exchange.modelName)
        else -> {
            val later = RelayReducer.reduce(step.state, RelayEvent.Tick, exchange.waitUntil)
            Verdict.Waits(exchange.waitUntil - now, refusalOrNull(later))
        }
    }
}

private fun refusalOrNull(step: Transition<RelayState, RelayEffect>): Verdict.Refused? =
    step.effects.filterIsInstance<RelayEffect.Refuse>().firstOrNull { it.exchange == HYPOTHETICAL }
        ?.let { Verdict.Refused(it.kind, it.detail, it.retryAfterMilliseconds) }

private fun RelayState.explainRollout(exchange: Exchange, now: Timestamp): RolloutExplanation? =
    rollouts.byService[exchange.service]?.let { progress ->
        RolloutExplanation(
            version = progress.order.version,
            phase = progress.phase,
            ageMilliseconds = progress.ageMilliseconds(now),
            share = progress.stage.share,
            condemned = progress.condemned,
            sessionOnOld = exchange.request.session?.let { sessionHash(it) in progress.oldSessions } ?: false,
        )
    }

private fun RelayState.beliefs(now: Timestamp): Beliefs = Beliefs(
    configurationVersion = configurationVersion,
    serversAgeMilliseconds = servers.listReadAt?.let { now - it },
    storeFailures = storePath.failures,
    members = members.sortedMembers.size,
    routersHeard = peers.lastBeacons.size,
    oldestBeaconMilliseconds = peers.lastBeacons.values.maxOfOrNull { now - it.receivedAt },
)
