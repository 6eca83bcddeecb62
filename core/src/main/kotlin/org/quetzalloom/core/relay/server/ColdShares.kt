package org.quetzalloom.core.relay.server

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.time.Timestamp

/** The span in which requests to a cold backend server are counted. */
private const val COLD_WINDOW_MILLISECONDS = 1_000L

/** A cold backend server bears only so many requests a second, from all routers together. */
internal fun RelayState.mayTakeCold(view: ServerView, now: Timestamp): Boolean {
    val borne = routing?.services?.get(view.listing.service)?.coldPerSecond ?: 0.0
    if (now >= view.coldUntil || borne <= 0.0) return true
    val recent = view.coldSends.count { now - it < COLD_WINDOW_MILLISECONDS }
    return recent < coldShare(view, borne)
}

/** Returns how many requests a second this router may send to a cold backend server that bears [borne] of them. */
private fun RelayState.coldShare(view: ServerView, borne: Double): Int {
    val equal = Math.floor(borne / members.shareholders).toInt()
    return if (equal > 0) equal else membersTurn(view, borne.toInt())
}

/** Of more routers than requests that a server bears, as many use it, one request each; others for each server. */
private fun RelayState.membersTurn(view: ServerView, borne: Int): Int {
    val place = members.ordered.indexOf(settings.vm)
    if (place < 0) return 0
    val first = bucketOf(view.listing.id.value, members.ordered.size)
    return if (Math.floorMod(place - first, members.ordered.size) < borne) 1 else 0
}

/** Returns the view after an attempt was sent at [now]. */
internal fun ServerView.takeSend(work: Long, now: Timestamp): ServerView {
    val recent = coldSends.filter { now - it < COLD_WINDOW_MILLISECONDS }
    val sends = if (now < coldUntil) recent + now else recent
    return copy(inFlight = inFlight + 1, work = this.work + work, coldSends = sends.toPersistentList())
}
