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

/** Leads the VM to a stop that cuts no request: readiness off, no new work, the rest finished, bills in the log. */
internal object DrainPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.ShutdownRequested -> state.onShutdownRequested(now)
        is Event.Tick -> state.stopIfDrained(now)
        else -> state.unchanged()
    }

    private fun RouterState.onShutdownRequested(now: Timestamp): Step {
        if (drain.since != null) return unchanged()
        return copy(drain = drain.copy(since = now)).report(now, "shutdown_requested", "active" to requests.active.size)
    }

    private fun RouterState.stopIfDrained(now: Timestamp): Step {
        val idle = requests.active.isEmpty() && !acceptsRequests(now)
        if (drain.stopped || !idle || !isSafeToStop(now)) return unchanged()
        return copy(drain = drain.copy(stopped = true)).report(now, "shutdown_completed").then { it.with(Effect.Stop) }
    }

    /** Returns whether nothing is lost when this VM goes: all is in the log, or a live peer keeps the rest. */
    private fun RouterState.isSafeToStop(now: Timestamp): Boolean {
        val live = livePeers(now)
        val ownBillsReplicated = billing.unsettled.values.all { bill -> bill.confirmedBy.any { it in live } }
        val billsSafe = ownBillsReplicated && billing.kept.isEmpty()
        val commandsSafe = log.writerOf(LogStream.COMMANDS).idle
        return commandsSafe && (billsSafe || log.writerOf(LogStream.BILLS).idle)
    }
}

/** Returns whether requests that arrive are still taken. */
internal fun RouterState.acceptsRequests(now: Timestamp): Boolean {
    val since = drain.since ?: return true
    return now - since < settings.limits.drainGraceMilliseconds
}
