package org.quetzalloom.core.reducer

import org.quetzalloom.core.time.Timestamp

/**
 * A pure function from a state and an event to the next state and the effects to carry out.
 *
 * The same state, event and time always give the same transition.
 */
public fun interface Reducer<S, in E, out F> {
    /** Returns the transition that [event], taken at [now], causes in [state]. */
    public fun reduce(state: S, event: E, now: Timestamp): Transition<S, F>
}
