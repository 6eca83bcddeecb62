package org.quetzalloom.standins.load

/** An event that the load tool handles. */
sealed interface LoadEvent {
    /** The periodic tick, on which due requests are sent. */
    data object Tick : LoadEvent

    /** A request has ended with the result [sample]. */
    data class RequestEnded(val sample: LoadSample) : LoadEvent
}
