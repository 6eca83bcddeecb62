package org.quetzalloom.core.drain

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.log.LogStream
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/**
 * Shuts the VM down gracefully, without cutting off a request.
 *
 * Readiness is turned off first. Requests that still arrive are accepted for `drainGraceMilliseconds` and then refused.
 * After that time, the process stops as soon as all requests are finished and their records are safe.
 */
internal object DrainPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.ShutdownRequested -> state.onShutdownRequested(now)
        is Event.Tick -> state.stopIfDrained(now)
        else -> state.unchanged()
    }

    /** Starts the drain; further requests to shut down change nothing. */
    private fun RouterState.onShutdownRequested(now: Timestamp): Step {
        if (drain.since != null) return unchanged()
        return copy(drain = drain.copy(since = now)).report(now, "shutdown_requested", "active" to requests.active.size)
    }

    /** Stops the process, once, when the drain is complete. */
    private fun RouterState.stopIfDrained(now: Timestamp): Step {
        val idle = requests.active.isEmpty() && !acceptsRequests(now)
        if (drain.stopped || !idle || !isSafeToStop(now)) return unchanged()
        return copy(drain = drain.copy(stopped = true)).report(now, "shutdown_completed").then { it.with(Effect.Stop) }
    }

    /**
     * Returns whether nothing is lost when this VM stops.
     *
     * All records of commands that this VM has queued must be in the log. So must all bills that it has queued, unless
     * a live peer has confirmed a copy of each pending bill of this VM, and this VM holds no copies for its peers.
     */
    private fun RouterState.isSafeToStop(now: Timestamp): Boolean {
        val live = livePeers(now)
        val ownBillsReplicated = billing.unsettled.values.all { bill -> bill.confirmedBy.any { it in live } }
        val billsSafe = ownBillsReplicated && billing.kept.isEmpty()
        val commandsSafe = log.writerOf(LogStream.COMMANDS).idle
        return commandsSafe && (billsSafe || log.writerOf(LogStream.BILLS).idle)
    }
}

/** Returns whether this VM accepts new requests: before a drain, and for `drainGraceMilliseconds` after it started. */
internal fun RouterState.acceptsRequests(now: Timestamp): Boolean {
    val since = drain.since ?: return true
    return now - since < settings.limits.drainGraceMilliseconds
}
