package org.quetzalloom.core.reducer

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus

/**
 * The result of a [Reducer]: the next state and the effects to carry out.
 *
 * @property state the next state.
 * @property effects the effects to carry out, in order.
 */
public data class Transition<out S, out F>(
    public val state: S,
    public val effects: PersistentList<F> = persistentListOf(),
)

/** Returns this transition followed by that of [step] from its state. The effects of [step] come last. */
public inline fun <S, F> Transition<S, F>.then(step: (S) -> Transition<S, F>): Transition<S, F> {
    val next = step(state)
    // Most transitions have no effects, and concatenation is not free for an empty list.
    val combined = when {
        next.effects.isEmpty() -> effects
        effects.isEmpty() -> next.effects
        else -> effects + next.effects
    }
    return Transition(state = next.state, effects = combined)
}

/** Returns this transition followed by those of [step] for each of [items], in order. */
public inline fun <S, F, T> Transition<S, F>.thenEach(
    items: Iterable<T>,
    step: (S, T) -> Transition<S, F>,
): Transition<S, F> = items.fold(this) { transition, item -> transition.then { step(it, item) } }
