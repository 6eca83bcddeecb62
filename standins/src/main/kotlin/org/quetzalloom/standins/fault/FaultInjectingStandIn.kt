package org.quetzalloom.standins.fault

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.collection.without
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.HttpEvent
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.badRequest
import org.quetzalloom.standins.http.parseOrNull

/** Adds fault injection by [Faults] to the stand-in [inner]. `POST /faults` is handled even while it is down. */
class FaultInjectingStandIn<S : Any>(private val inner: StandIn<S>) : StandIn<FaultInjectionState<S>> {
    override val initial: FaultInjectionState<S> = FaultInjectionState(inner.initial)

    override fun reduce(
        state: FaultInjectionState<S>,
        event: HttpEvent,
        now: Timestamp,
    ): Transition<FaultInjectionState<S>, HttpEffect> = when {
        event is HttpEvent.RequestReceived && event.call.matches("POST", "/faults") -> replaceFaults(state, event.call)
        event is HttpEvent.RequestReceived && state.faults.down ->
            Transition(state, persistentListOf(HttpEffect.Abort(event.call.exchangeId)))
        else -> forward(state, event, now)
    }

    private fun replaceFaults(
        state: FaultInjectionState<S>,
        call: HttpCall,
    ): Transition<FaultInjectionState<S>, HttpEffect> {
        val faults = call.parseOrNull<Faults>()
        val response = if (faults == null) call.badRequest() else HttpEffect.Respond(call.exchangeId)
        return Transition(state.copy(faults = faults ?: state.faults), persistentListOf(response))
    }

    private fun forward(
        state: FaultInjectionState<S>,
        event: HttpEvent,
        now: Timestamp,
    ): Transition<FaultInjectionState<S>, HttpEffect> {
        val transition = inner.reduce(state.inner, event, now)
        val loss = transition.effects
            .fold(ResponseLoss(state.faults.lostAnswers)) { current, effect -> current.then(effect) }
        val faults = state.faults.copy(lostAnswers = loss.remaining)
        val dueAt = now + faults.delayMilliseconds
        val delayed = state.delayed.addAll(loss.effects.map { DelayedEffect(dueAt, it) })
        val due = delayed.filter { it.dueAt <= now }
        val next = state.copy(inner = transition.state, faults = faults, delayed = delayed.without { it.dueAt <= now })
        return Transition(next, due.map { it.effect }.toPersistentList())
    }

    /** The effects after the loss of responses, and the number of further responses to lose. */
    private data class ResponseLoss(val remaining: Int, val effects: List<HttpEffect> = emptyList()) {
        fun then(effect: HttpEffect): ResponseLoss = if (remaining > 0 && effect is HttpEffect.Respond) {
            ResponseLoss(remaining - 1, effects + HttpEffect.Abort(effect.exchangeId))
        } else {
            copy(effects = effects + effect)
        }
    }
}
