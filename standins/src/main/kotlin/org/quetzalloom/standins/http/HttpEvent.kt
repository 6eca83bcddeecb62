package org.quetzalloom.standins.http

/** Everything that can happen to a stand-in. */
sealed interface HttpEvent {
    /** Time has passed. */
    data object Tick : HttpEvent

    /** A request arrived. */
    data class Called(val call: HttpCall) : HttpEvent

    /** The other end closed the connection of [exchange] before the answer was whole. */
    data class Left(val exchange: String) : HttpEvent
}
