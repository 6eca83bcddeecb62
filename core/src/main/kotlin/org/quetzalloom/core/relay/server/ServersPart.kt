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
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** Maintains the list of backend servers from the feed of their entries. */
internal object ServersPart : RelayPart {
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
        val named = event.entries.mapNotNull { it.serverIdOrNull() }.toSet()
        val absent = if (event.snapshot) servers.views.keys - named else emptySet()
        val failedAt = listOfNotNull(servers.listFailedAt, readers.failedAt[Feed.SERVERS]).maxOrNull()
        val readAt = feeds.of(Feed.SERVERS).readAt ?: now
        return copy(servers = servers.copy(listReadAt = readAt, listFailedAt = failedAt)).unchanged()
            .thenEach(event.entries) { current, entry -> current.take(entry, now) }
            .thenEach(absent) { current, id -> current.markRemoved(id, now) }
    }

    private fun RelayState.take(entry: FeedEntry, now: Timestamp): RelayStep {
        val id = entry.serverIdOrNull()
        return when {
            entry is FeedEntry.Server -> updateListing(entry.listing, now)
            id != null -> markRemoved(id, now)
            else -> unchanged()
        }
    }

    /** Returns the server that an entry of the list is about; an entry that cannot be read is about that of its key. */
    private fun FeedEntry.serverIdOrNull(): BackendServerId? = when (this) {
        is FeedEntry.Server -> listing.id
        is FeedEntry.ServerRemoved -> id
        is FeedEntry.Unreadable -> if (isIdentifier(key)) BackendServerId(key) else null
        else -> null
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
