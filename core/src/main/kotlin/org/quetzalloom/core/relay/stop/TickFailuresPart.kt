package org.quetzalloom.core.relay.stop

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.endAllForStop
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Ends the process when its ticks fail one after the other.
 *
 * A tick is reduced by all parts or by none, so that one part that fails on the present state stops the reads of the
 * store, the beacons and all deadlines, while requests would still be sent by what was known before. A new process
 * begins with a new state. One tick that fails, or any other event, has no such consequence.
 *
 * Once ticks have failed for long, the router is no longer ready and refuses new requests as not run. Those in progress
 * have [FINISH_MILLISECONDS] left.
 */
internal object TickFailuresPart : RelayPart {
    /** How long after the decision to end the process waits at most for the last responses. */
    private const val FINISH_MILLISECONDS = 2_000L

    /** How long after the decision to end requests that are still in progress are ended with an error. */
    private const val ANSWER_MILLISECONDS = 1_700L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        RelayEvent.TickFailed -> state.tickFailed(now).then { it.endRequestsIfDue(now) }
        RelayEvent.Tick -> state.tickSucceeded(now).then { it.endRequestsIfDue(now) }
        else -> state.unchanged()
    }

    private fun RelayState.tickFailed(now: Timestamp): RelayStep {
        val failures = tickFailures.withFailure(now)
        val next = copy(tickFailures = failures)
        val ends = failures.endingSince == null && !stop.finished && failures.isLasting(now)
        return if (ends) next.end(now) else next.unchanged()
    }

    private fun RelayState.end(now: Timestamp): RelayStep {
        val ending = copy(
            tickFailures = tickFailures.copy(endingSince = now),
            stop = stop.copy(requestedAt = stop.requestedAt ?: now, ready = false, finished = true),
        )
        return ending
            .report(
                now,
                "ticks_failing",
                "failures" to tickFailures.count,
                "failing_ms" to tickFailures.since?.let { now - it },
                "active" to exchanges.byId.size,
            )
            .then { it.with(RelayEffect.SetReady(false), RelayEffect.DrainConnections) }
            .then { it.with(RelayEffect.Finish(FINISH_MILLISECONDS, failed = true)) }
    }

    private fun RelayState.tickSucceeded(now: Timestamp): RelayStep {
        if (tickFailures.count == 0) return unchanged()
        return copy(tickFailures = TickFailuresState(endingSince = tickFailures.endingSince)).report(
            now,
            "ticks_regained",
            "failures" to tickFailures.count,
            "after_ms" to tickFailures.since?.let { now - it },
        )
    }

    /** Requests that wait, or whose servers do not respond, would otherwise end without an answer. */
    private fun RelayState.endRequestsIfDue(now: Timestamp): RelayStep {
        val isDue = tickFailures.endingSince?.let { now - it >= ANSWER_MILLISECONDS } ?: false
        return if (isDue) endAllForStop(now) else unchanged()
    }
}
