package org.quetzalloom.core.relay.routing

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/** Keeps the newest configuration in force. A lower version never replaces a higher one. */
internal object RoutingPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep {
        val newest = (event as? RelayEvent.FeedRead)?.entries
            ?.filterIsInstance<FeedEntry.Configuration>()
            ?.maxByOrNull { it.table.version }
            ?.table
        return if (newest == null) state.unchanged() else state.accept(newest, now)
    }

    private fun RelayState.accept(table: RoutingTable, now: Timestamp): RelayStep {
        val inForce = routing
        if (inForce != null && inForce.version >= table.version) return unchanged()
        return copy(routing = table).with(RelayEffect.ApplyLimits(table.limits)).then {
            it.report(
                now,
                "configuration_applied",
                "version" to table.version,
                "previous" to inForce?.version,
                "routes" to table.routes.size,
                "services" to table.services.size,
                "workspace_priorities" to table.workspacePriorities.values.groupingBy { it }.eachCount()
                    .toSortedMap().takeIf { it.isNotEmpty() }?.entries?.joinToString(","),
            )
        }
    }
}
