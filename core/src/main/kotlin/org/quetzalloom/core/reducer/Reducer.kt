package org.quetzalloom.core.reducer

import org.quetzalloom.core.time.Timestamp

/**
 * A pure function from a state and an event to the next state and the effects to carry out.
 *
 * The same state, event and time always give the same transition.
 */
public fun interface Reducer<S, in E, out F> {
    /** Returns the transition from [state] on [event], which is handled at [now]. */
    public fun reduce(state: S, event: E, now: Timestamp): Transition<S, F>
}
