package org.quetzalloom.core.relay.routing

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/** Keeps the newest configuration in force. A lower version never replaces a higher one. */
internal object RoutingPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep {
        val read = event as? RelayEvent.FeedRead
        val newest = read?.entries
            ?.filterIsInstance<FeedEntry.Configuration>()
            ?.maxByOrNull { it.table.version }
            ?.table
        return if (newest == null) state.unchanged() else state.accept(newest, read, now)
    }

    private fun RelayState.accept(table: RoutingTable, read: RelayEvent.FeedRead, now: Timestamp): RelayStep {
        val inForce = routing
        if (inForce != null && inForce.version >= table.version) return unchanged()
        val cursor = feeds.of(Feed.ORDERS)
        val next = copy(routing = table, routingAppliedAt = now)
        return next.with(RelayEffect.ApplyLimits(table.limits)).then {
            it.report(
                now,
                "configuration_applied",
                "version" to table.version,
                "previous" to inForce?.version,
                "orders_read_ms_ago" to feedAge(Feed.ORDERS, now),
                "orders_reader" to cursor.reader,
                "given_up" to !cursor.expects(read),
                "snapshot" to read.snapshot,
                "next_offset" to read.nextOffset,
                "routes" to table.routes.size,
                "services" to table.services.size,
                "workspace_priorities" to table.workspacePriorities.values.groupingBy { it }.eachCount()
                    .toSortedMap().takeIf { it.isNotEmpty() }?.entries?.joinToString(","),
            )
        }
    }
}
