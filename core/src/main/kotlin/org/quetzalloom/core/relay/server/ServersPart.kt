package org.quetzalloom.core.relay.server

import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.isIdentifier
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** Maintains the list of backend servers from the feed of their entries. */
internal object ServersPart : RelayPart {
    /** How long entries that lapsed while the list could not be read are kept; servers that are alive renew them. */
    private const val LAPSED_ENTRY_GRACE_MILLISECONDS = 2_000L

    /** For this time after a failed read, the list may lack entries of servers that are alive. */
    private const val RECENT_LIST_FAILURE_MILLISECONDS = 3_000L

    /** How often servers are dropped. They get no requests from when they are marked. */
    private const val DROP_INTERVAL_MILLISECONDS = 500L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.FeedRead -> state.feedRead(event, now)
        is RelayEvent.FeedFailed -> state.listFailed(event, now)
        RelayEvent.Tick -> state.dropRemoved(now)
        else -> state.unchanged()
    }

    private fun RelayState.feedRead(event: RelayEvent.FeedRead, now: Timestamp): RelayStep {
        if (event.feed != Feed.SERVERS) return unchanged()
        val lastEntries = event.entries.mapNotNull { entry -> entry.serverIdOrNull()?.let { it to entry } }.toMap()
        val listings = lastEntries.values.filterIsInstance<FeedEntry.Server>().map { it.listing }
        val absent = if (event.snapshot) servers.views.keys - lastEntries.keys else emptySet()
        val unlisted = lastEntries.keys - listings.map { it.id }.toSet() + absent
        val failedAt = listOfNotNull(servers.listFailedAt, readers.failedAt[Feed.SERVERS]).maxOrNull()
        val readAt = feeds.of(Feed.SERVERS).readAt ?: now
        return copy(servers = servers.copy(listReadAt = readAt, listFailedAt = failedAt)).unchanged()
            .thenEach(listings) { current, listing -> current.updateListing(listing, now) }
            .thenEach(unlisted) { current, id -> current.markRemoved(id, now) }
    }

    /** Returns the server that an entry of the list is about; an entry that cannot be read is about that of its key. */
    private fun FeedEntry.serverIdOrNull(): BackendServerId? = when (this) {
        is FeedEntry.Server -> listing.id
        is FeedEntry.ServerRemoved -> id
        is FeedEntry.Unreadable -> if (isIdentifier(key)) BackendServerId(key) else null
        else -> null
    }

    /**
     * The store may execute a server's writes late and return to an older copy of its records, and there are other
     * writers. An entry that is older than the last one is left out, unless it is of the same run and the server was
     * removed without having said that it leaves. One that names an unknown service in place of the server's is not the
     * server's own.
     */
    private fun RelayState.updateListing(listing: ServerListing, now: Timestamp): RelayStep {
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

    private fun RelayState.markRemoved(id: BackendServerId, now: Timestamp): RelayStep {
        val view = servers.views[id]?.takeIf { it.dropAt == null } ?: return unchanged()
        val lapsedInOutage = servers.listFailedAt?.let { now - it <= RECENT_LIST_FAILURE_MILLISECONDS } ?: false
        val dropAt = if (lapsedInOutage && !view.listing.draining) now + LAPSED_ENTRY_GRACE_MILLISECONDS else now
        val next = copy(servers = servers.update(id) { it.copy(dropAt = dropAt) })
        return next.report(now, "server_removed", "server" to id, "dropped_in_ms" to (dropAt - now))
    }

    private fun RelayState.dropRemoved(now: Timestamp): RelayStep {
        if (now < servers.dropDueAt) return unchanged()
        val removable = servers.views.values
            .filter { view -> view.inFlight == 0 && view.dropAt?.let { it <= now } ?: false }
        val remaining = removable.fold(servers) { current, view -> current.drop(view, now) }.forgetDeparted(now)
        return copy(servers = remaining.copy(dropDueAt = now + DROP_INTERVAL_MILLISECONDS)).unchanged()
    }

    /** Notes a failed read of the list. One through another router says nothing about the store. */
    private fun RelayState.listFailed(event: RelayEvent.FeedFailed, now: Timestamp): RelayStep =
        if (event.feed == Feed.SERVERS && !event.throughReader) {
            copy(servers = servers.copy(listFailedAt = now)).unchanged()
        } else {
            unchanged()
        }
}
