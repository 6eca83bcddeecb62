package org.quetzalloom.core.request

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/**
 * Processes each request from its arrival to exactly one answer or one refusal, unless its caller leaves first.
 *
 * After each event, waiting requests are advanced and queued ones dispatched. This is skipped if none waits, and for
 * tokens that leave the set of waiting requests as it was.
 */
internal object RequestsPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step {
        val handled = state.handle(event, now)
        val waiting = handled.state.requests.waiting
        val onlyTokens = event is Event.OfBackend.ChunkReceived && waiting === state.requests.waiting
        if (waiting.isEmpty() || onlyTokens) return handled
        return handled.then { it.advanceAll(now) }.then { it.dispatchAll(now) }
    }

    private fun RouterState.handle(event: Event, now: Timestamp): Step = when (event) {
        is Event.OfCaller.Arrived -> onArrived(event, now)
        is Event.OfCaller.Disconnected -> onCallerLeft(event, now)
        is Event.OfBackend.Accepted -> onAccepted(event, now)
        is Event.OfBackend.ChunkReceived -> onChunkReceived(event, now)
        is Event.OfBackend.Finished -> onFinished(event, now)
        is Event.OfBackend.Failed -> onFailed(event, now)
        is Event.OfBackend.LoadReported -> resolveCrashChecks(event.server, restartedRecently(event), now)
        is Event.OfBackend.LoadReportFailed -> resolveCrashChecks(event.server, down = true, now = now)
        is Event.Tick -> expireAll(now)
        else -> unchanged()
    }

    /** Returns whether the reported start is recent enough to explain the broken connection by a crash. */
    private fun RouterState.restartedRecently(event: Event.OfBackend.LoadReported): Boolean =
        event.uptimeMilliseconds < settings.limits.crashCheckTimeoutMilliseconds

    /**
     * Cancels a request whose caller has left.
     *
     * A running command goes on, so that its outcome is recorded, and so does a request that only waits for its bill.
     */
    private fun RouterState.onCallerLeft(event: Event.OfCaller.Disconnected, now: Timestamp): Step {
        val request = requests.active[event.request] ?: return unchanged()
        val phase = request.phase
        return when {
            phase is Phase.AwaitingBill -> put(request.copy(callerLeft = true))
            phase is Phase.Running && request.command != null -> put(request.copy(callerLeft = true))
            phase is Phase.Running ->
                releaseAttempt(phase).discard(request).then { it.with(Effect.OfBackend.Cancel(phase.attempt)) }
            else -> discard(request)
        }.then { it.report(now, "caller_left", "request" to event.request) }
    }
}
