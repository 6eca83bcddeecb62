package org.quetzalloom.core.reducer

import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.time.Timestamp

/** Runs [parts] in order, each on the state that the one before it returned, and concatenates their effects. */
internal class PartsReducer<S, E, F>(private val parts: PersistentList<Reducer<S, E, F>>) : Reducer<S, E, F> {
    override fun reduce(state: S, event: E, now: Timestamp): Transition<S, F> =
        parts.fold(Transition(state)) { transition, part -> transition.then { part.reduce(it, event, now) } }
}
