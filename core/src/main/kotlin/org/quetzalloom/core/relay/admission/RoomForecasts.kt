package org.quetzalloom.core.relay.admission

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.server.ServerView
import org.quetzalloom.core.relay.server.nextColdSendAt
import org.quetzalloom.core.relay.server.withinColdLimit
import org.quetzalloom.core.time.Timestamp

/**
 * Predicts how many milliseconds after [now] a backend server can take [exchange]: once the pause after a failure or a
 * refusal, or the time for which the server wants no requests, is over, or a cold server may get one more. Returns 0
 * where only connections are short, as one may become free at any time, and `null` if there is no server.
 */
internal fun RelayState.millisecondsUntilRoomOrNull(exchange: Exchange, now: Timestamp): Long? =
    servers.views.values
        .filter { it.listing.service == exchange.service && mayTakeLater(exchange, it) }
        .minOfOrNull { roomAt(it, now) - now }
        ?.coerceAtLeast(0)

private fun RelayState.mayTakeLater(exchange: Exchange, view: ServerView): Boolean =
    !view.isLeaving && view.dropAt == null &&
        view.listing.zone !in servers.evacuatedZones && view.listing.id !in exchange.triedServers

private fun RelayState.roomAt(view: ServerView, now: Timestamp): Timestamp {
    val open = maxOf(view.suspendedUntil, view.closedUntil)
    return if (withinColdLimit(view, now)) open else maxOf(open, view.nextColdSendAt(now))
}
