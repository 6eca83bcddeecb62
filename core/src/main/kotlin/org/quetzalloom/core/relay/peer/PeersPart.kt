package org.quetzalloom.core.relay.peer

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.rollout.rolloutReports
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

/** Tells other routers of this router's work, and hears of theirs. */
internal object PeersPart : RelayPart {
    /** A prompt of usual length is read in about this time. */
    private const val INTERVAL_MILLISECONDS = 100L

    /** Routers told with each beacon; in a larger fleet others each time, so that the traffic stays bounded. */
    private const val MOST_TOLD = 8

    /** Backend servers told of, those with the most work first; a beacon must fit into one datagram. */
    private const val MOST_SERVERS = 24

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.BeaconReceived -> state.hear(event.beacon, now)
        RelayEvent.Tick -> state.tellIfDue(now)
        else -> state.unchanged()
    }

    private fun RelayState.hear(beacon: PeerBeacon, now: Timestamp): RelayStep {
        val late = peers.heard[beacon.vm]?.takeIf { it.isFresh(now) }?.let { it.beacon.sequence >= beacon.sequence }
        if (beacon.vm == settings.vm || late == true) return unchanged()
        return copy(peers = peers.copy(heard = peers.heard.put(beacon.vm, HeardBeacon(beacon, now)))).unchanged()
    }

    private fun RelayState.tellIfDue(now: Timestamp): RelayStep {
        if (now < peers.tellAt) return unchanged()
        val next = copy(peers = peers.copy(tellAt = now + INTERVAL_MILLISECONDS, sequence = peers.sequence + 1))
        val addresses = receivers(next.peers.sequence)
        val told = RelayEffect.SendBeacon(addresses.toPersistentList(), beacon(next.peers.sequence, now))
        return if (addresses.isEmpty()) next.unchanged() else next.with(told)
    }

    private fun RelayState.receivers(sequence: Long): List<String> = members.addresses.entries
        .filter { it.key != settings.vm && it.value.isNotEmpty() }
        .let { others ->
            if (others.size <= MOST_TOLD) others else others.sortedBy { stableHash(it.key, sequence) }.take(MOST_TOLD)
        }
        .map { it.value }

    private fun RelayState.beacon(sequence: Long, now: Timestamp): PeerBeacon = PeerBeacon(
        vm = settings.vm,
        sequence = sequence,
        work = servers.views.values.filter { it.pendingWork > 0 }
            .sortedByDescending { it.pendingWork }
            .take(MOST_SERVERS)
            .associate { it.listing.id to it.pendingWork }.toPersistentMap(),
        rollouts = rolloutReports(now).toPersistentList(),
    )
}
