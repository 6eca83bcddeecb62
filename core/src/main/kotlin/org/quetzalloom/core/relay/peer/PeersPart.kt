package org.quetzalloom.core.relay.peer

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.access.provenReaderOrNull
import org.quetzalloom.core.relay.crash.crashReports
import org.quetzalloom.core.relay.rollout.completionReceivers
import org.quetzalloom.core.relay.rollout.rolloutReports
import org.quetzalloom.core.relay.server.leavingReports
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/** The maximum number of servers in a beacon, which must fit into one datagram; those with the most work are named. */
private const val MAXIMUM_SERVERS = 24

/** The maximum number of durations in a beacon. All routers tell of all servers, so single ones may be left out. */
private const val MAXIMUM_DURATIONS = 8

/** The time between two beacons. A server reads a prompt of usual length in about this time. */
private const val BEACON_INTERVAL_MILLISECONDS = 100L

/** Sends beacons about this router's work to other routers, and keeps the beacons received from them. */
internal object PeersPart : RelayPart {
    /**
     * The maximum number of receivers of a beacon, which bounds the traffic. In a larger fleet the other routers get
     * beacons in turn, and each router begins with its successor, so that each receives as many as it sends. Only
     * proposals to complete a roll-out go to more.
     */
    private const val MAXIMUM_RECEIVERS = 8

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.BeaconReceived -> state.receive(event.beacon, now)
        RelayEvent.Tick -> state.sendIfDue(now)
        else -> state.unchanged()
    }

    /**
     * Keeps [beacon], unless a fresh one of its sender has the same or a higher number. If the last one is no longer
     * fresh, any number is accepted: it starts again when the sender restarts.
     */
    private fun RelayState.receive(beacon: PeerBeacon, now: Timestamp): RelayStep {
        val outdated = peers.lastBeacons[beacon.vm]
            ?.takeIf { it.isFresh(now) }
            ?.let { it.beacon.sequence >= beacon.sequence }
        if (beacon.vm == settings.vm || outdated == true) return unchanged()
        val durations = beacon.durations.entries.fold(servers) { current, (id, percent) ->
            current.update(id) { it.copy(workDuration = it.workDuration.record(percent)) }
        }
        return copy(peers = peers.received(beacon, now), servers = durations).unchanged()
    }

    private fun RelayState.sendIfDue(now: Timestamp): RelayStep {
        if (now < peers.sendDueAt) return unchanged()
        val next = copy(
            peers = peers.expire(now)
                .copy(sendDueAt = now + BEACON_INTERVAL_MILLISECONDS, sequence = peers.sequence + 1),
        )
        val addresses = receivers(next.peers.sequence, now)
        val send = RelayEffect.SendBeacon(addresses.toPersistentList(), beacon(next.peers.sequence, now))
        return if (addresses.isEmpty()) next.unchanged() else next.with(send)
    }

    private fun RelayState.receivers(sequence: Long, now: Timestamp): List<String> {
        val others = members.sortedMembers.filter { it != settings.vm }
        val position = members.sortedMembers.indexOf(settings.vm).coerceAtLeast(0)
        val receivers = if (others.size <= MAXIMUM_RECEIVERS) {
            others
        } else {
            val first = position + sequence * MAXIMUM_RECEIVERS
            val inTurn = (first until first + MAXIMUM_RECEIVERS).map { others[Math.floorMod(it, others.size)] }
            (inTurn + completionReceivers(now)).distinct()
        }
        return addressesOf(receivers)
    }
}

/**
 * Returns the transition that sends a beacon to all other routers at [now], whoever's turn it is. The next ones follow
 * at their usual times.
 */
internal fun RelayState.sendBeaconToAll(now: Timestamp): RelayStep {
    val next = copy(peers = peers.copy(sequence = peers.sequence + 1))
    val addresses = next.addressesOf(members.sortedMembers.filter { it != settings.vm })
    val send = RelayEffect.SendBeacon(addresses.toPersistentList(), beacon(next.peers.sequence, now))
    return if (addresses.isEmpty()) unchanged() else next.with(send)
}

private fun RelayState.addressesOf(routers: List<VmId>): List<String> =
    routers.mapNotNull { members.addresses[it] }.filter { it.isNotEmpty() }

/** A router that is behind the others would decide about their requests by an older configuration. */
private fun RelayState.takesOverRequests(now: Timestamp): Boolean {
    val isBehind = feeds.staleSince.isNotEmpty() && provenReaderOrNull(now) != null
    return stop.requestedAt == null && reach.cutOffServices.isEmpty() && !isBehind
}

private fun RelayState.beacon(sequence: Long, now: Timestamp): PeerBeacon {
    val storeReadMillisecondsAgo = (now - feeds.store.readAt).takeIf { it <= settings.changeBoundMilliseconds }
    val crashes = crashReports(sequence, tellsOfStore = storeReadMillisecondsAgo != null, now)
    val leaving = leavingReports(sequence / 2)
    // Both together may not fit into one datagram.
    val tellsOfLeaving = leaving.isNotEmpty() && (crashes.isEmpty() || sequence % 2 == 1L)
    return PeerBeacon(
        vm = settings.vm,
        sequence = sequence,
        work = servers.views.values.filter { it.pendingWork > 0 }
            .sortedByDescending { it.pendingWork }
            .take(MAXIMUM_SERVERS)
            .associate { it.listing.id to it.pendingWork }.toPersistentMap(),
        durations = servers.views.values.filter { now - it.loadReportedAt <= BEACON_INTERVAL_MILLISECONDS }
            .mapNotNull { view -> view.loadReport?.workDurationPercent?.let { view.listing.id to it } }
            .take(MAXIMUM_DURATIONS).toMap().toPersistentMap(),
        rollouts = rolloutReports(sequence, now).toPersistentList(),
        crashes = if (tellsOfLeaving) persistentListOf() else crashes,
        leaving = if (tellsOfLeaving) leaving.toPersistentList() else persistentListOf(),
        callerPort = settings.callerPort.takeIf { takesOverRequests(now) },
        storeReadMillisecondsAgo = storeReadMillisecondsAgo,
    )
}
