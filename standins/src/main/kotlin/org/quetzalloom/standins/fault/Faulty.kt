package org.quetzalloom.standins.fault

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.time.Timestamp
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.HttpEvent
import org.quetzalloom.standins.http.StandIn
import org.quetzalloom.standins.http.parseOrNull
import org.quetzalloom.standins.http.unreadable

/** Gives [inner] the fault switches. */
class Faulty<S : Any>(private val inner: StandIn<S>) : StandIn<FaultyState<S>> {
    override val initial: FaultyState<S> = FaultyState(inner.initial)

    override fun reduce(
        state: FaultyState<S>,
        event: HttpEvent,
        now: Timestamp,
    ): Transition<FaultyState<S>, HttpEffect> = when {
        event is HttpEvent.Called && event.call.matches("POST", "/faults") -> switch(state, event.call)
        event is HttpEvent.Called && state.faults.down -> Transition(
            state,
            persistentListOf(HttpEffect.Abort(event.call.exchange))
        )
        else -> pass(state, event, now)
    }

    private fun switch(state: FaultyState<S>, call: HttpCall): Transition<FaultyState<S>, HttpEffect> {
        val faults = call.parseOrNull<Faults>()
        val answer = if (faults == null) call.unreadable() else HttpEffect.Respond(call.exchange)
        return Transition(state.copy(faults = faults ?: state.faults), persistentListOf(answer))
    }

    private fun pass(
        state: FaultyState<S>,
        event: HttpEvent,
        now: Timestamp,
    ): Transition<FaultyState<S>, HttpEffect> {
        val passed = inner.reduce(state.inner, event, now)
        val lost = passed.effects.fold(Lost(state.faults.lostAnswers)) { reached, effect -> reached.then(effect) }
        val faults = state.faults.copy(lostAnswers = lost.remaining)
        val dueAt = now + faults.delayMilliseconds
        val held = state.held.addAll(lost.effects.map { HeldEffect(dueAt, it) })
        val due = held.filter { it.dueAt <= now }
        val next = state.copy(inner = passed.state, faults = faults, held = held.removeAll(due))
        return Transition(next, due.map { it.effect }.toPersistentList())
    }

    /** The effects so far, and how many more answers are to be lost. */
    private data class Lost(val remaining: Int, val effects: List<HttpEffect> = emptyList()) {
        fun then(effect: HttpEffect): Lost = if (remaining > 0 && effect is HttpEffect.Respond) {
            Lost(remaining - 1, effects + HttpEffect.Abort(effect.exchange))
        } else {
            copy(effects = effects + effect)
        }
    }
}
