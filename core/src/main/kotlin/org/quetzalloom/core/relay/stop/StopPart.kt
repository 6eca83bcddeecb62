package org.quetzalloom.core.relay.stop

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.exchange.endAllForStop
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.routing.Route
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Sets the readiness of the router, and ends the process once a graceful stop is complete or its grace time is almost
 * over. Requests that are in progress then are answered before the process ends.
 */
internal object StopPart : RelayPart {
    /**
     * How long new connections may arrive after the router is no longer ready: two health check intervals and a margin.
     */
    private const val LATE_CONNECTIONS_MILLISECONDS = 3_000L

    /**
     * How long callers' connections wait for the first configuration after the start; then their requests are refused
     * as not run. It usually arrives sooner, and callers allow a second for their connections.
     */
    private const val ACCEPT_DELAY_MILLISECONDS = 600L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        RelayEvent.StopRequested -> state.requestStop(now)
        RelayEvent.Tick -> state.updateReadiness(now).then { it.acceptIfDue(now) }.then { it.finishIfDone(now) }
        else -> state.unchanged()
    }

    private fun RelayState.requestStop(now: Timestamp): RelayStep {
        if (stop.requestedAt != null) return unchanged()
        return copy(stop = stop.copy(requestedAt = now)).with(RelayEffect.DrainConnections)
            .then { it.report(now, "stop_requested", "active" to exchanges.byId.size) }
            .then { it.updateReadiness(now) }
    }

    private fun RelayState.updateReadiness(now: Timestamp): RelayStep {
        val ready = stop.requestedAt == null && routing != null && servers.listReadAt != null
        if (ready == stop.ready) return unchanged()
        return copy(stop = stop.copy(ready = ready)).with(RelayEffect.SetReady(ready))
            .then { it.report(now, "readiness", "ready" to ready, "version" to routing?.version) }
    }

    private fun RelayState.acceptIfDue(now: Timestamp): RelayStep {
        if (stop.accepting) return unchanged()
        val startedAt = stop.startedAt ?: now
        val due = stop.ready == true || now - startedAt >= ACCEPT_DELAY_MILLISECONDS
        val next = copy(stop = stop.copy(startedAt = startedAt, accepting = due))
        return if (due) next.with(RelayEffect.AcceptCallers) else next.unchanged()
    }

    private fun RelayState.finishIfDone(now: Timestamp): RelayStep {
        val elapsed = stop.requestedAt?.takeUnless { stop.finished }?.let { now - it }
        if (elapsed == null || !mayFinish(elapsed)) return unchanged()
        return copy(stop = stop.copy(finished = true))
            .report(now, "stopped", "active" to exchanges.byId.size, "after_ms" to elapsed)
            .then { it.endAllForStop(now) }
            .then { it.with(RelayEffect.Finish(withinMilliseconds = (latestExit - elapsed).coerceAtLeast(0))) }
    }

    private fun RelayState.mayFinish(elapsed: Long): Boolean {
        val drained = exchanges.byId.isEmpty() && elapsed >= LATE_CONNECTIONS_MILLISECONDS
        return drained || elapsed >= latestAnswer
    }

    /** The time from the request to stop until the process ends, whatever is still being received or written. */
    private val RelayState.latestExit: Long get() = settings.graceMilliseconds - EXIT_MARGIN_MILLISECONDS
}

/** The process ends this long before the end of the grace time, when it would be killed. */
private const val EXIT_MARGIN_MILLISECONDS = 100L

/** Requests in progress are ended this long before the end of the grace time, so that their answers can be written. */
private const val ANSWER_MARGIN_MILLISECONDS = 300L

/** How long after the stop was requested new requests are admitted, whatever their time limits. */
private const val LATE_REQUESTS_MILLISECONDS = 2_500L

/** The time from the request to stop until all requests in progress are ended. */
private val RelayState.latestAnswer: Long get() = settings.graceMilliseconds - ANSWER_MARGIN_MILLISECONDS

/**
 * Returns whether [request] may be admitted at [now]: no stop was requested, the stop was requested only recently, or
 * the time limit of the request ends before requests in progress are ended; but none once the process is about to end.
 */
internal fun RelayState.mayAdmitWhileStopping(request: RelayRequest, route: Route, now: Timestamp): Boolean {
    val requestedAt = stop.requestedAt ?: return true
    val timeLimit = minOf(request.timeLeftMilliseconds ?: Long.MAX_VALUE, route.timeoutMilliseconds)
    val elapsed = now - requestedAt
    return !stop.finished && (elapsed <= LATE_REQUESTS_MILLISECONDS || timeLimit <= latestAnswer - elapsed)
}
