package org.quetzalloom.standins.store

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.standins.http.HttpCall
import org.quetzalloom.standins.http.HttpEffect
import org.quetzalloom.standins.http.with

/** The return of the store to an older copy of its topics. */
internal object StoreEras {
    private const val HEADER = "Store-Era"

    /** Takes a copy of all topics. */
    fun takeCopy(state: StoreState, call: HttpCall): StoreStep =
        state.copy(copiedTopics = state.topics).with(HttpEffect.Respond(call.exchangeId))

    /** Returns to the last copy, and closes the connections of the reads that wait. */
    fun rewind(state: StoreState, call: HttpCall): StoreStep {
        val next = state.copy(topics = state.copiedTopics, waitingReads = persistentListOf(), era = state.era + 1)
        return next.with(HttpEffect.Respond(call.exchangeId))
            .thenEach(state.waitingReads) { current, read -> current.with(HttpEffect.Abort(read.exchangeId)) }
    }

    /** Returns [step] with the era in all responses. */
    fun tellEra(step: StoreStep): StoreStep = step.copy(
        effects = step.effects.map { effect ->
            if (effect is HttpEffect.Respond) {
                effect.copy(headers = effect.headers.put(HEADER, "${step.state.era}"))
            } else {
                effect
            }
        }.toPersistentList(),
    )
}
