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

/** Tracks which peers are live, and gossips: sends a digest and this VM's rating sums to one peer in rotation. */
internal object MembershipPart : Part {
    private const val LIST_INTERVAL_MILLISECONDS = 2_000L

    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.FromPeer -> state.recordMessage(event.from, now).unchanged()
        is Event.OfPlatform.VmsListed -> state.recordListing(event).unchanged()
        is Event.Tick -> state.gossip(now).then { it.listVms(now) }
        else -> state.unchanged()
    }

    private fun RouterState.recordMessage(peer: VmId, now: Timestamp): RouterState =
        copy(membership = membership.copy(lastMessageAt = membership.lastMessageAt.put(peer, now)))

    private fun RouterState.recordListing(event: Event.OfPlatform.VmsListed): RouterState {
        val leaving = event.listings.associate { it.vm to it.leaving }.toPersistentMap()
        return copy(membership = membership.copy(leaving = leaving))
    }

    private fun RouterState.gossip(now: Timestamp): Step {
        val last = membership.digestSentAt
        val due = last == null || now - last >= settings.limits.gossipIntervalMilliseconds
        val peers = if (due) peers() else emptyList()
        if (peers.isEmpty()) return unchanged()
        val digestNumber = membership.digestsSent
        val receiver = peers[(digestNumber % peers.size).toInt()]
        val next = copy(membership = membership.copy(digestSentAt = now, digestsSent = digestNumber + 1))
        return next.sendToPeer(receiver, PeerMessage.Digest(next.configuration.view.revision))
            .then { it.sendRatings(receiver) }
    }

    private fun RouterState.sendRatings(receiver: VmId): Step =
        unchanged().thenEach(quality.ownSums(settings)) { state, message -> state.sendToPeer(receiver, message) }

    private fun RouterState.listVms(now: Timestamp): Step {
        val last = membership.listRequestedAt
        if (last != null && now - last < LIST_INTERVAL_MILLISECONDS) return unchanged()
        return copy(membership = membership.copy(listRequestedAt = now)).with(Effect.OfPlatform.ListVms)
    }
}

/** Returns the other VMs of the fleet in the order of their identifiers. */
internal fun RouterState.peers(): List<VmId> = settings.fleet.keys.filter { it != settings.vm }.sorted()

/** Returns the peers that were heard from within the peer timeout and are not listed as leaving, by id. */
internal fun RouterState.livePeers(now: Timestamp): List<VmId> = peers().filter { peer ->
    val lastMessageAt = membership.lastMessageAt[peer]
    lastMessageAt != null &&
        now - lastMessageAt < settings.limits.peerTimeoutMilliseconds &&
        membership.leaving[peer] != true
}
