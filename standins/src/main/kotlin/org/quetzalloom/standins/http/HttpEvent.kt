package org.quetzalloom.standins.http

/** Everything that can happen to a stand-in. */
sealed interface HttpEvent {
    /** Time has passed. */
    data object Tick : HttpEvent

    /** A request arrived. */
    data class RequestReceived(val call: HttpCall) : HttpEvent

    /** The other end closed the connection of [exchangeId] before the answer was whole. */
    data class ClientDisconnected(val exchangeId: String) : HttpEvent
}
