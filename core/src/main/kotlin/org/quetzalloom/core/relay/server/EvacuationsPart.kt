package org.quetzalloom.core.relay.server

import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** Tracks the evacuated availability zones, whose backend servers get no requests. */
internal object EvacuationsPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep =
        if (event is RelayEvent.FeedRead && event.feed == Feed.ORDERS) state.feedRead(event, now) else state.unchanged()

    private fun RelayState.feedRead(event: RelayEvent.FeedRead, now: Timestamp): RelayStep {
        val entries = event.entries.filterIsInstance<FeedEntry.Evacuation>()
        val named = entries.map { it.zone }.toSet()
        val ended = if (event.snapshot) servers.evacuatedZones.keys - named else emptySet()
        return unchanged()
            .thenEach(entries) { current, entry -> current.evacuate(entry, now) }
            .thenEach(ended) { current, zone -> current.evacuate(FeedEntry.Evacuation(zone, active = false), now) }
    }

    private fun RelayState.evacuate(entry: FeedEntry.Evacuation, now: Timestamp): RelayStep {
        val isEvacuated = entry.zone in servers.evacuatedZones
        if (isEvacuated == entry.active) return unchanged()
        val next = if (entry.active) {
            servers.copy(evacuatedZones = servers.evacuatedZones.put(entry.zone, now))
        } else {
            servers.copy(evacuatedZones = servers.evacuatedZones.remove(entry.zone)).treatAsCold(entry, this, now)
        }
        return copy(servers = next).report(now, "zone_evacuated", "zone" to entry.zone, "active" to entry.active)
    }

    /**
     * Treats the servers of a zone whose evacuation has ended as cold. They may have become cold during it, and their
     * entries in the list may not say so yet; the next entry of a server replaces this estimate.
     */
    private fun ServersState.treatAsCold(
        entry: FeedEntry.Evacuation,
        relay: RelayState,
        now: Timestamp,
    ): ServersState = views.values.filter { it.listing.zone == entry.zone }.fold(this) { current, view ->
        val cold = relay.routing?.services?.get(view.listing.service)?.coldMilliseconds ?: 0
        current.update(view.listing.id) { it.copy(coldUntil = maxOf(it.coldUntil, now + cold)) }
    }
}
