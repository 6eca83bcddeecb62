package org.quetzalloom.standins.load

/** Everything that can happen to the load tool. */
sealed interface LoadEvent {
    /** Time has passed. */
    data object Tick : LoadEvent

    /** A request has ended. */
    data class RequestEnded(val sample: LoadSample) : LoadEvent
}
