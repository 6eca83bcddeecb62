package org.quetzalloom.relay

/** The events that a [RelayLoop] posts itself. */
internal interface LoopEvents<E : Any> {
    /** The event that is posted at a fixed interval, for everything that depends on time. */
    val tick: E

    /**
     * Returns the event to reduce before any other if there was a pause since the last call that the loop's clock may
     * not have counted; `null` if there was none.
     */
    fun pauseOrNull(): E?

    /** Returns the event to reduce after [event], whose reduction has thrown; `null` if there is none. */
    fun failureOrNull(event: E): E?
}
