package org.quetzalloom.core.relay.stop

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.routing.Route
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/** Declares readiness, and ends the process once a graceful stop has nothing left to do. */
internal object StopPart : RelayPart {
    /** New connections may come for this time after readiness is gone: two health checks, and a reserve. */
    private const val LAST_CONNECTIONS_MILLISECONDS = 3_000L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        RelayEvent.StopRequested -> state.request(now)
        RelayEvent.Tick -> state.declare(now).then { it.finishIfDone(now) }
        else -> state.unchanged()
    }

    private fun RelayState.request(now: Timestamp): RelayStep {
        if (stop.requestedAt != null) return unchanged()
        return copy(stop = stop.copy(requestedAt = now)).with(RelayEffect.DrainConnections)
            .then { it.report(now, "stop_requested", "active" to exchanges.byId.size) }
            .then { it.declare(now) }
    }

    private fun RelayState.declare(now: Timestamp): RelayStep {
        val ready = stop.requestedAt == null && routing != null && servers.listReadAt != null
        if (ready == stop.ready) return unchanged()
        return copy(stop = stop.copy(ready = ready)).with(RelayEffect.SetReady(ready))
            .then { it.report(now, "readiness", "ready" to ready, "version" to routing?.version) }
    }

    private fun RelayState.finishIfDone(now: Timestamp): RelayStep {
        val elapsed = stop.requestedAt?.takeUnless { stop.finished }?.let { now - it }
        if (elapsed == null || !mayFinish(elapsed)) return unchanged()
        return copy(stop = stop.copy(finished = true))
            .report(now, "stopped", "active" to exchanges.byId.size, "after_ms" to elapsed)
            .then { it.with(RelayEffect.Finish) }
    }

    private fun RelayState.mayFinish(elapsed: Long): Boolean {
        val done = exchanges.byId.isEmpty() && elapsed >= LAST_CONNECTIONS_MILLISECONDS
        return done || elapsed >= settings.graceMilliseconds - RESERVE_MILLISECONDS
    }
}

/** The process ends this long before it would be killed, in milliseconds. */
private const val RESERVE_MILLISECONDS = 300L

/** Requests may come this long after the stop was asked for, in milliseconds, however long they take. */
private const val LAST_REQUESTS_MILLISECONDS = 2_500L

/** Returns whether a request that arrives at [now] may be taken, as far as a stop goes. */
internal fun RelayState.endsInTime(request: RelayRequest, route: Route, now: Timestamp): Boolean {
    val requestedAt = stop.requestedAt ?: return true
    val time = minOf(request.timeLeftMilliseconds ?: Long.MAX_VALUE, route.timeoutMilliseconds)
    val left = settings.graceMilliseconds - RESERVE_MILLISECONDS - (now - requestedAt)
    return now - requestedAt <= LAST_REQUESTS_MILLISECONDS || time <= left
}
