package org.quetzalloom.standins.http

/** An event that a stand-in handles. */
sealed interface HttpEvent {
    /** The periodic tick, on which due work is done. */
    data object Tick : HttpEvent

    /** A request has arrived, with its whole body. */
    data class RequestReceived(val call: HttpCall) : HttpEvent

    /** The client closed the connection of [exchangeId] before the response was complete. */
    data class ClientDisconnected(val exchangeId: String) : HttpEvent
}
