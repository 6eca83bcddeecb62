package org.quetzalloom.core.session

import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.request.mayUse
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.rendezvousOrNull
import org.quetzalloom.core.router.sendToPeer
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Keeps each session on one version (session affinity).
 *
 * The home VM of a session, chosen by rendezvous hashing, assigns its version. The VM that ranks next keeps a copy and
 * becomes the home if the first is gone. Assignments that were not used for [ASSIGNMENT_TTL_MILLISECONDS] are removed.
 */
internal object SessionsPart : Part {
    private const val SWEEP_INTERVAL_MILLISECONDS = 60_000L
    private const val ASSIGNMENT_TTL_MILLISECONDS = 3_600_000L

    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.FromPeer -> state.onPeerMessage(event, now)
        is Event.Tick -> state.sweep(now).unchanged()
        else -> state.unchanged()
    }

    private fun RouterState.onPeerMessage(
        event: Event.FromPeer,
        now: Timestamp,
    ): Step = when (val message = event.message) {
        is PeerMessage.AskSession -> onAskSession(event, message, now)
        is PeerMessage.TellSession ->
            withAssignment(SessionKey(message.workspace, message.session), message.version, now).unchanged()
        else -> unchanged()
    }

    /** Answers a peer with the version of a session; if it has none yet, assigns the one that the peer proposes. */
    private fun RouterState.onAskSession(event: Event.FromPeer, message: PeerMessage.AskSession, now: Timestamp): Step {
        val key = SessionKey(message.workspace, message.session)
        val version = assignedVersionOrNull(key) ?: message.proposed
        return assignVersion(key, version, now)
            .then { it.sendToPeer(event.from, PeerMessage.TellSession(key.workspace, key.session, version)) }
    }

    /** Removes expired assignments, once per [SWEEP_INTERVAL_MILLISECONDS]. */
    private fun RouterState.sweep(now: Timestamp): RouterState {
        val last = sessions.sweptAt
        if (last != null && now - last < SWEEP_INTERVAL_MILLISECONDS) return this
        val expired = sessions.assignments.filterValues { now - it.usedAt > ASSIGNMENT_TTL_MILLISECONDS }.keys
        val kept = expired.fold(sessions.assignments) { assignments, key -> assignments.remove(key) }
        return copy(sessions = sessions.copy(assignments = kept, sweptAt = now))
    }
}

/** Returns the version assigned to the session of [key] as known at this VM, or `null` if none may still be used. */
internal fun RouterState.assignedVersionOrNull(key: SessionKey): VersionId? =
    sessions.assignments[key]?.version?.takeIf { mayUse(key.workspace, it) }

/** Returns the state in which the session of [key] is assigned to [version]. */
internal fun RouterState.withAssignment(key: SessionKey, version: VersionId, now: Timestamp): RouterState =
    copy(sessions = sessions.copy(assignments = sessions.assignments.put(key, SessionAssignment(version, now))))

/** Returns the home VM of the session of [key]: the one that ranks highest for it among the live VMs. */
internal fun RouterState.sessionHome(key: SessionKey, now: Timestamp) =
    rendezvousOrNull(livePeers(now) + settings.vm, key) ?: settings.vm

/**
 * Returns the transition that assigns [version] to the session of [key].
 *
 * A change is copied to the live peer that ranks highest for the session: the home VM if this VM is gone.
 */
internal fun RouterState.assignVersion(key: SessionKey, version: VersionId, now: Timestamp): Step {
    val alreadyAssigned = assignedVersionOrNull(key) == version
    val next = withAssignment(key, version, now)
    val backup = rendezvousOrNull(livePeers(now), key)
    if (alreadyAssigned || backup == null) return next.unchanged()
    return next.sendToPeer(backup, PeerMessage.TellSession(key.workspace, key.session, version))
}
