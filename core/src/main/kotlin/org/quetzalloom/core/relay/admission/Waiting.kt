package org.quetzalloom.core.relay.admission

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.exchange.failExchange
import org.quetzalloom.core.relay.exchange.giveUp
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the transition that leaves [exchange] waiting for a backend server, or ends it: if it has waited too long, or
 * if it has not run and the admission policy does not let it wait.
 */
internal fun RelayState.waitOrGiveUp(exchange: Exchange, now: Timestamp): RelayStep {
    val waiting = copy(exchanges = exchanges.with(exchange.copy(attempt = null)))
    val mayWait = now < exchange.waitUntil &&
        (exchange.mayHaveRun || policies.admission.mayWait(waiting.shortage(exchange, now)))
    return if (mayWait) waiting.unchanged() else waiting.giveUp(exchange, now)
}

/** Returns the transition that refuses [exchange], which has not run, as there is no room for it. */
internal fun RelayState.refuseForLackOfRoom(exchange: Exchange, now: Timestamp): RelayStep {
    val shortage = shortage(exchange, now)
    val retryAfter = policies.admission.retryAfterMilliseconds(shortage)
    val next = copy(admission = admission.refused(exchange.request.contentHash, now + retryAfter, now))
    return next.reportShortage(exchange, shortage, retryAfter, now).then {
        it.failExchange(exchange, ErrorKind.NO_CAPACITY, "no backend server could take the request", now, retryAfter)
    }
}

private fun RelayState.shortage(exchange: Exchange, now: Timestamp): Shortage {
    val waiting = exchanges.byId.values.filter { it.isWaiting && it.service == exchange.service }
    return Shortage(
        waitLeftMilliseconds = exchange.waitUntil - now,
        untilRoomMilliseconds = millisecondsUntilRoomOrNull(exchange, now),
        waiting = waiting.size,
        waitingOfWorkspace = waiting.count { it.workspace == exchange.workspace },
        waitingWorkspaces = waiting.distinctBy { it.workspace }.size,
        returnedEarly = admission.returnedEarly(exchange.request.contentHash, exchange.arrivedAt),
        seed = exchange.request.callerId ?: exchange.id.toString(),
    )
}

private fun RelayState.reportShortage(
    exchange: Exchange,
    shortage: Shortage,
    retryAfterMilliseconds: Long,
    now: Timestamp,
): RelayStep = report(
    now,
    "room_short",
    "request" to exchange.request.callerId,
    "service" to exchange.service,
    "workspace" to exchange.workspace,
    "waited_ms" to (now - exchange.arrivedAt),
    "until_room_ms" to shortage.untilRoomMilliseconds,
    "waiting" to shortage.waiting,
    "waiting_of_workspace" to shortage.waitingOfWorkspace,
    "returned_early" to shortage.returnedEarly,
    "retry_after_ms" to retryAfterMilliseconds,
)
