package org.quetzalloom.core.request

import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/** Leads each request from its arrival to one answer or one refusal. */
internal object RequestsPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step {
        val handled = state.handle(event, now)
        if (handled.state.requests.waiting.isEmpty()) return handled
        return handled.then { it.advanceAll(now) }.then { it.dispatchAll(now) }
    }

    private fun RouterState.handle(event: Event, now: Timestamp): Step = when (event) {
        is Event.OfCaller.Arrived -> arrive(event, now)
        is Event.OfCaller.Left -> leave(event, now)
        is Event.OfBackend.Accepted -> accept(event, now)
        is Event.OfBackend.Progressed -> progress(event, now)
        is Event.OfBackend.Finished -> finish(event, now)
        is Event.OfBackend.Failed -> fail(event, now)
        is Event.OfBackend.LoadReported -> verdict(event.server, restartedSinceFailure(event), now)
        is Event.OfBackend.LoadUnknown -> verdict(event.server, down = true, now = now)
        is Event.Tick -> expireAll(now)
        else -> unchanged()
    }

    /** Returns whether the backend server that reports has started lately, as one does that went down. */
    private fun RouterState.restartedSinceFailure(event: Event.OfBackend.LoadReported): Boolean =
        event.upForMilliseconds < settings.limits.verdictMilliseconds

    /** A call that may not be repeated goes on without its caller, so that its outcome is recorded. */
    private fun RouterState.leave(event: Event.OfCaller.Left, now: Timestamp): Step {
        val request = requests.active[event.request] ?: return unchanged()
        val phase = request.phase
        return when {
            phase is Phase.Settling -> put(request.copy(callerLeft = true))
            phase is Phase.Running && request.command != null -> put(request.copy(callerLeft = true))
            phase is Phase.Running -> release(
                phase
            ).drop(request).then { it.with(Effect.OfBackend.Cancel(phase.attempt)) }
            else -> drop(request)
        }.then { it.report(now, "caller_left", "request" to event.request) }
    }

    private fun RouterState.expireAll(now: Timestamp): Step =
        requests.active.keys.sorted().fold(unchanged()) { reached, id ->
            reached.then { state -> state.requests.active[id]?.let { state.expire(it, now) } ?: state.unchanged() }
        }

    private fun RouterState.expire(request: ActiveRequest, now: Timestamp): Step {
        val phase = request.phase
        return when {
            phase is Phase.Settling -> unchanged()
            phase is Phase.Running && isSilent(request, phase, now) -> cancelAndFail(request, phase, now)
            now < request.deadline || request.callerLeft -> unchanged()
            phase is Phase.Running -> expireRunning(request, phase, now)
            else -> expireWaiting(request, now)
        }
    }

    private fun RouterState.isSilent(request: ActiveRequest, phase: Phase.Running, now: Timestamp): Boolean {
        val patience = when {
            request.call.target is Target.ServiceCall -> settings.limits.serviceSilenceMilliseconds
            request.delivered == 0 -> settings.limits.firstTokenMilliseconds
            else -> settings.limits.tokenGapMilliseconds
        }
        return now - phase.progressAt >= patience
    }

    private fun RouterState.expireRunning(request: ActiveRequest, phase: Phase.Running, now: Timestamp): Step =
        if (request.command != null) {
            put(request.copy(callerLeft = true)).then {
                val error = RouterError(
                    ErrorKind.OUTCOME_UNKNOWN,
                    "the call still runs at its deadline",
                )
                it.with(Effect.OfCaller.Refuse(request.id, error))
            }
        } else {
            with(Effect.OfBackend.Cancel(phase.attempt))
                .then { it.release(phase).refuse(request, ErrorKind.DEADLINE_EXCEEDED, "the deadline passed", now) }
        }

    private fun RouterState.expireWaiting(request: ActiveRequest, now: Timestamp): Step = when {
        request.phase is Phase.AwaitingIntent ->
            refuse(request, ErrorKind.LOG_UNAVAILABLE, "the intent could not be recorded in time", now)
        request.phase is Phase.AwaitingOutcome ->
            refuse(
                request,
                ErrorKind.OUTCOME_UNKNOWN,
                "the same call was sent before and is not known to have ended",
                now
            )
        request.mayHaveRun -> refuse(request, ErrorKind.DEADLINE_EXCEEDED, "the deadline passed between attempts", now)
        else -> refuse(request, ErrorKind.NO_CAPACITY, "no backend server became free in time", now)
    }
}
