package org.quetzalloom.core.relay.server

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.time.Timestamp

/** The window over which requests to a cold backend server are counted. */
private const val COLD_WINDOW_MILLISECONDS = 1_000L

/**
 * Returns whether this router may send one more request to the server of [view]. While a server is cold, all routers
 * together may send it only
 * [coldRequestsPerSecond][org.quetzalloom.core.relay.routing.BackendService.coldRequestsPerSecond].
 */
internal fun RelayState.withinColdLimit(view: ServerView, now: Timestamp): Boolean {
    val coldLimit = routing?.services?.get(view.listing.service)?.coldRequestsPerSecond ?: 0.0
    if (now >= view.coldUntil || coldLimit <= 0.0) return true
    val recent = view.coldSends.count { now - it < COLD_WINDOW_MILLISECONDS }
    return recent < coldShare(view, coldLimit)
}

/** Returns this router's share, in requests a second, of the [coldLimit] of a cold backend server. */
private fun RelayState.coldShare(view: ServerView, coldLimit: Double): Int {
    val equalShare = Math.floor(coldLimit / members.routerCount).toInt()
    return if (equalShare > 0) equalShare else rotatedShare(view, coldLimit.toInt())
}

/**
 * Returns this router's share where there are more routers than requests: [coldLimit] of the routers may send one
 * request a second each, and a hash of the server's id decides which, so that they differ from server to server. The
 * share is 0 while the members are not known.
 */
private fun RelayState.rotatedShare(view: ServerView, coldLimit: Int): Int {
    val position = members.sortedMembers.indexOf(settings.vm)
    if (position < 0) return 0
    val first = bucketOf(view.listing.id.value, members.sortedMembers.size)
    return if (Math.floorMod(position - first, members.sortedMembers.size) < coldLimit) 1 else 0
}

/** Returns when this router may send one more request to a cold server to which it may send none at [now]. */
internal fun ServerView.nextColdSendAt(now: Timestamp): Timestamp {
    val oldest = coldSends.firstOrNull { now - it < COLD_WINDOW_MILLISECONDS } ?: return coldUntil
    return minOf(coldUntil, oldest + COLD_WINDOW_MILLISECONDS)
}

/** Returns the view after an attempt with [work] to read was sent at [now]. */
internal fun ServerView.afterSend(work: Long, now: Timestamp): ServerView {
    val recent = coldSends.filter { now - it < COLD_WINDOW_MILLISECONDS }
    val sends = if (now < coldUntil) recent + now else recent
    return copy(inFlight = inFlight + 1, pendingWork = pendingWork + work, coldSends = sends.toPersistentList())
}
