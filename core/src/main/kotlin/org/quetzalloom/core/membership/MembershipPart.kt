package org.quetzalloom.core.membership

import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.sendToPeer
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.router.with
import org.quetzalloom.core.selection.ownSums
import org.quetzalloom.core.time.Timestamp

/** Keeps track of peers, and sends digests to them in turn. */
internal object MembershipPart : Part {
    private const val LIST_INTERVAL_MILLISECONDS = 2_000L

    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.PeerTold -> state.heard(event.from, now).unchanged()
        is Event.OfPlatform.VmsListed -> state.listed(event).unchanged()
        is Event.Tick -> state.gossip(now).then { it.askForList(now) }
        else -> state.unchanged()
    }

    private fun RouterState.heard(peer: VmId, now: Timestamp): RouterState =
        copy(membership = membership.copy(heardAt = membership.heardAt.put(peer, now)))

    private fun RouterState.listed(event: Event.OfPlatform.VmsListed): RouterState {
        val leaving = event.listings.associate { it.vm to it.leaving }.toPersistentMap()
        return copy(membership = membership.copy(leaving = leaving))
    }

    private fun RouterState.gossip(now: Timestamp): Step {
        val last = membership.gossipAt
        val due = last == null || now - last >= settings.limits.gossipIntervalMilliseconds
        val peers = if (due) peers() else emptyList()
        if (peers.isEmpty()) return unchanged()
        val turn = membership.gossipTurn
        val receiver = peers[(turn % peers.size).toInt()]
        val next = copy(membership = membership.copy(gossipAt = now, gossipTurn = turn + 1))
        return next.sendToPeer(receiver, PeerMessage.Digest(next.configuration.view.revision))
            .then { it.tellRatings(receiver) }
    }

    private fun RouterState.tellRatings(receiver: VmId): Step =
        unchanged().thenEach(quality.ownSums(settings)) { state, message -> state.sendToPeer(receiver, message) }

    private fun RouterState.askForList(now: Timestamp): Step {
        val last = membership.listedAt
        if (last != null && now - last < LIST_INTERVAL_MILLISECONDS) return unchanged()
        return copy(membership = membership.copy(listedAt = now)).with(Effect.OfPlatform.ListVms)
    }
}

/** Returns the other VM slots of the fleet, in order. */
internal fun RouterState.peers(): List<VmId> = settings.fleet.keys.filter { it != settings.vm }.sorted()

/** Returns the peers that were heard lately and are not listed as leaving. */
internal fun RouterState.livePeers(now: Timestamp): List<VmId> = peers().filter { peer ->
    val heardAt = membership.heardAt[peer]
    heardAt != null &&
        now - heardAt < settings.limits.peerTimeoutMilliseconds &&
        membership.leaving[peer] != true
}
