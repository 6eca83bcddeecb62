package org.quetzalloom.core.router

import kotlinx.collections.immutable.PersistentList
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.reducer.Reducer
import org.quetzalloom.core.reducer.Transition
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.time.Timestamp

/** Composes [parts], each of which goes on from the state that the one before it has left. */
internal class PartsReducer(private val parts: PersistentList<Part>) : Reducer<RouterState, Event, Effect> {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Transition<RouterState, Effect> =
        parts.fold(state.unchanged()) { reached, part -> reached.then { part.reduce(it, event, now) } }
}
