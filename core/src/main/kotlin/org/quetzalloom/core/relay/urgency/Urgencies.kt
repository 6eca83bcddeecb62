package org.quetzalloom.core.relay.urgency

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.time.Timestamp

/** Returns the rank of [exchange] at [now], from 0, the most urgent, to [Urgency.LEAST_URGENT]. */
internal fun RelayState.urgencyRank(exchange: Exchange, now: Timestamp): Int = policies.urgency.rankOf(
    UrgencyRequest(
        routePriority = exchange.route.priority,
        workspacePriority = exchange.workspace?.let { routing?.workspacePriorities?.get(it) },
        attempts = exchange.attempts,
        resumed = exchange.headForwarded,
        elapsedMilliseconds = now - exchange.arrivedAt,
        targetMilliseconds = exchange.route.targetMilliseconds,
        limitMilliseconds = exchange.deadlineAt - exchange.arrivedAt,
    ),
)
