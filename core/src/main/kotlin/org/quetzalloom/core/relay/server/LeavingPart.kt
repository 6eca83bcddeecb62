package org.quetzalloom.core.relay.server

import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** The maximum number of servers in a beacon, which must fit into one datagram. The others are named in turn. */
private const val MAXIMUM_REPORTS = 6

/**
 * Notes backend servers that announce in a response that they shut down, and those that other routers know to do so.
 *
 * A server that answers one router may not answer another one for seconds, nor does each router read the list at the
 * same time. What one knows reaches all others with their next beacons, whether or not they can read the list.
 */
internal object LeavingPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.ResponseStarted -> state.responseStarted(event, now)
        is RelayEvent.BeaconReceived -> state.unchanged().thenEach(event.beacon.leaving) { current, report ->
            current.note(report, by = event.beacon.vm, now)
        }
        else -> state.unchanged()
    }

    private fun RelayState.responseStarted(event: RelayEvent.ResponseStarted, now: Timestamp): RelayStep {
        val server = exchanges.currentOrNull(event.exchange, event.attempt)?.attempt?.server
        val view = server?.let { servers.views[it] }?.takeIf { event.head.leaving && !event.head.misdirected }
        return if (view == null) {
            unchanged()
        } else {
            note(LeavingReport(server, view.listing.startedAt, sequence = null), by = "response", now)
        }
    }

    private fun RelayState.note(report: LeavingReport, by: Any, now: Timestamp): RelayStep {
        val next = servers.noteLeaving(report)
        if (next == servers) return unchanged()
        return copy(servers = next)
            .report(now, "server_leaving", "server" to report.server, "by" to by, "sequence" to report.sequence)
    }
}

/** Returns the state after [report], which says nothing about other runs of the server. */
private fun ServersState.noteLeaving(report: LeavingReport): ServersState {
    val gone = departed[report.server]?.takeIf { it.listing.startedAt == report.startedAt && report.sequence == null }
    val next = if (gone == null) this else copy(departed = departed.put(report.server, gone.copy(leaving = true)))
    return next.update(report.server) { it.afterReport(report) }
}

private fun ServerView.afterReport(report: LeavingReport): ServerView = when {
    listing.startedAt != report.startedAt -> this
    report.sequence == null -> copy(leaving = true)
    listing.draining || listing.sequence > report.sequence -> this
    else -> copy(listing = listing.copy(draining = true, sequence = report.sequence))
}

/** Returns what a beacon tells of servers that shut down; [turn] decides which ones, if there are too many. */
internal fun RelayState.leavingReports(turn: Long): List<LeavingReport> {
    val leaving = servers.views.values.filter { it.isLeaving }
    val first = if (leaving.size > MAXIMUM_REPORTS) Math.floorMod(turn * MAXIMUM_REPORTS, leaving.size) else 0
    return (leaving.drop(first) + leaving.take(first)).take(MAXIMUM_REPORTS).map { it.leavingReport() }
}

private fun ServerView.leavingReport(): LeavingReport =
    LeavingReport(listing.id, listing.startedAt, sequence = if (leaving) null else listing.sequence)
