package org.quetzalloom.core.reducer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus

/**
 * The outcome of one reduction.
 *
 * @property state the state that follows.
 * @property effects what the process is asked to do, in order.
 */
public data class Transition<out S, out F>(
    public val state: S,
    public val effects: PersistentList<F> = persistentListOf(),
)

/** Runs [step] on the state reached so far and appends its effects. */
public inline fun <S, F> Transition<S, F>.then(step: (S) -> Transition<S, F>): Transition<S, F> {
    val next = step(state)
    return Transition(state = next.state, effects = effects + next.effects)
}

/** Runs [step] for each of [items] in order, from the state reached so far. */
public inline fun <S, F, T> Transition<S, F>.thenEach(
    items: Iterable<T>,
    step: (S, T) -> Transition<S, F>,
): Transition<S, F> = items.fold(this) { transition, item -> transition.then { step(it, item) } }
