package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.time.Timestamp

/** Longer than a server goes on after its entry was removed, and than the store is late to execute a write. */
private const val DEPARTED_MEMORY_MILLISECONDS = 300_000L

/**
 * What is remembered of a backend server that is no longer listed: its process may go on, and entries that it wrote
 * before may be read later.
 *
 * @property listing the server's last entry in the list.
 * @property leaving whether the server has announced in a response that it shuts down.
 * @property at when the server was dropped.
 */
internal data class DepartedServer(val listing: ServerListing, val leaving: Boolean, val at: Timestamp) {
    /** Whether the server has announced that it shuts down, in its entry or in a response. */
    val isLeaving: Boolean get() = leaving || listing.draining
}

/** Returns the last entry of the server [id], or `null` if none is remembered. */
internal fun ServersState.lastListingOrNull(id: BackendServerId): ServerListing? =
    views[id]?.listing ?: departed[id]?.listing

/** Returns whether the server [id] is listed, or has been and has announced that it shuts down. */
internal fun ServersState.isListedOrLeaving(id: BackendServerId): Boolean =
    views[id]?.let { it.dropAt == null || it.isLeaving } ?: departed[id]?.isLeaving ?: false

/** Returns the state in which [view], which has been dropped at [now], is remembered. */
internal fun ServersState.drop(view: ServerView, now: Timestamp): ServersState {
    val id = view.listing.id
    val server = DepartedServer(view.listing, view.leaving, now)
    return copy(views = views.remove(id), departed = departed.put(id, server))
}

/** Returns the state in which nothing is remembered at [now] of servers that were dropped long ago. */
internal fun ServersState.forgetDeparted(now: Timestamp): ServersState {
    val forgotten = departed.values.filter { now - it.at >= DEPARTED_MEMORY_MILLISECONDS }
    return copy(departed = forgotten.fold(departed) { rest, server -> rest.remove(server.listing.id) })
}
