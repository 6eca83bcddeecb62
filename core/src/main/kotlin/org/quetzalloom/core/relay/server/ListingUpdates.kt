package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** How long entries that lapsed while the list could not be read are kept; servers that are alive renew them. */
private const val LAPSED_ENTRY_GRACE_MILLISECONDS = 2_000L

/** For this time after a failed read, the list may lack entries of servers that are alive. */
private const val RECENT_LIST_FAILURE_MILLISECONDS = 3_000L

/**
 * Returns the transition that takes [listing] from the list.
 *
 * The store may execute a server's writes late and return to an older copy of its records, and there are other
 * writers. An entry that is older than the last one is left out, unless it is of the same run and the server was
 * removed without having said that it leaves. One that names an unknown service in place of the server's is not the
 * server's own.
 */
internal fun RelayState.updateListing(listing: ServerListing, now: Timestamp): RelayStep {
    val known = servers.lastListingOrNull(listing.id)
    return when {
        known == null -> putListing(listing, now)
        known.service != listing.service ->
            if (isUnknown(listing.service)) markRemoved(listing.id, now) else putListing(listing, now)
        isOutdated(listing, known) -> reportOlder(listing, known, now)
        else -> putListing(listing, now)
    }
}

private fun RelayState.isOutdated(listing: ServerListing, known: ServerListing): Boolean =
    listing.isOlderThan(known) &&
        (listing.startedAt != known.startedAt || servers.isListedOrLeaving(listing.id))

private fun RelayState.isUnknown(service: ServiceName): Boolean = routing?.let { service !in it.services } ?: false

private fun RelayState.reportOlder(
    listing: ServerListing,
    known: ServerListing,
    now: Timestamp,
): RelayStep = report(
    now,
    "server_entry_older",
    "server" to listing.id,
    "sequence" to listing.sequence,
    "known_sequence" to known.sequence,
    "started_at" to listing.startedAt,
    "known_started_at" to known.startedAt,
    "draining" to listing.draining,
    "known_draining" to known.draining,
)

private fun RelayState.putListing(listing: ServerListing, now: Timestamp): RelayStep {
    val previous = servers.views[listing.id]
    val view = previous?.withListing(listing, now) ?: newView(listing, now)
    val next = copy(
        servers = servers.copy(
            views = servers.views.put(listing.id, view),
            departed = servers.departed.remove(listing.id),
        ),
    )
    val changed = previous == null || previous.dropAt != null || previous.listing.differsFrom(listing)
    return if (changed) next.reportListed(view, now) else next.unchanged()
}

private fun RelayState.newView(listing: ServerListing, now: Timestamp): ServerView {
    val sameRun = servers.departed[listing.id]?.takeIf { it.listing.startedAt == listing.startedAt }
    return ServerView(
        listing = listing,
        coldUntil = now + listing.coldMilliseconds,
        leaving = sameRun?.leaving ?: false,
    )
}

private fun ServerListing.differsFrom(other: ServerListing): Boolean =
    draining != other.draining || startedAt != other.startedAt || address != other.address

private fun RelayState.reportListed(view: ServerView, now: Timestamp): RelayStep = report(
    now,
    "server_listed",
    "server" to view.listing.id,
    "service" to view.listing.service,
    "address" to view.listing.address,
    "zone" to view.listing.zone,
    "version" to view.listing.version,
    "draining" to view.listing.draining,
    "cold_ms" to view.listing.coldMilliseconds,
    "sequence" to view.listing.sequence,
)

private fun ServerView.withListing(listing: ServerListing, now: Timestamp): ServerView {
    if (listing.startedAt != this.listing.startedAt) {
        return ServerView(listing = listing, coldUntil = now + listing.coldMilliseconds, inFlight = inFlight)
    }
    return copy(listing = listing, coldUntil = now + listing.coldMilliseconds, dropAt = null)
}

/** Returns the transition after the entry of the server [id] was removed from the list. */
internal fun RelayState.markRemoved(id: BackendServerId, now: Timestamp): RelayStep {
    val view = servers.views[id]?.takeIf { it.dropAt == null } ?: return unchanged()
    val lapsedInOutage = servers.listFailedAt?.let { now - it <= RECENT_LIST_FAILURE_MILLISECONDS } ?: false
    val dropAt = if (lapsedInOutage && !view.listing.draining) now + LAPSED_ENTRY_GRACE_MILLISECONDS else now
    val next = copy(servers = servers.update(id) { it.copy(dropAt = dropAt) })
    return next.report(now, "server_removed", "server" to id, "dropped_in_ms" to (dropAt - now))
}
