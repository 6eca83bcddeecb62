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
 * Remembers the versions of sessions. The home VM of a session decides, and the next in rank keeps a copy.
 */
internal object SessionsPart : Part {
    private const val SWEEP_INTERVAL_MILLISECONDS = 60_000L
    private const val MEMORY_MILLISECONDS = 3_600_000L

    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.FromPeer -> state.told(event, now)
        is Event.Tick -> state.sweep(now).unchanged()
        else -> state.unchanged()
    }

    private fun RouterState.told(event: Event.FromPeer, now: Timestamp): Step = when (val message = event.message) {
        is PeerMessage.AskSession -> answer(event, message, now)
        is PeerMessage.TellSession ->
            assigned(SessionKey(message.workspace, message.session), message.version, now).unchanged()
        else -> unchanged()
    }

    private fun RouterState.answer(event: Event.FromPeer, message: PeerMessage.AskSession, now: Timestamp): Step {
        val key = SessionKey(message.workspace, message.session)
        val version = assignedOrNull(key) ?: message.proposed
        return decide(key, version, now)
            .then { it.sendToPeer(event.from, PeerMessage.TellSession(key.workspace, key.session, version)) }
    }

    private fun RouterState.sweep(now: Timestamp): RouterState {
        val last = sessions.sweptAt
        if (last != null && now - last < SWEEP_INTERVAL_MILLISECONDS) return this
        val old = sessions.assignments.filterValues { now - it.usedAt > MEMORY_MILLISECONDS }.keys
        val kept = old.fold(sessions.assignments) { assignments, key -> assignments.remove(key) }
        return copy(sessions = sessions.copy(assignments = kept, sweptAt = now))
    }
}

/** Returns the version that the session of [key] has here, if it may still be used, or `null`. */
internal fun RouterState.assignedOrNull(key: SessionKey): VersionId? =
    sessions.assignments[key]?.version?.takeIf { mayUse(key.workspace, it) }

/** Returns the state in which the session of [key] has [version]. */
internal fun RouterState.assigned(key: SessionKey, version: VersionId, now: Timestamp): RouterState =
    copy(sessions = sessions.copy(assignments = sessions.assignments.put(key, SessionAssignment(version, now))))

/** Returns the VM that decides the version of the session of [key]. */
internal fun RouterState.sessionHome(key: SessionKey, now: Timestamp) =
    rendezvousOrNull(livePeers(now) + settings.vm, key) ?: settings.vm

/** Returns the transition that assigns [version] and hands a copy to the VM that would be home without this one. */
internal fun RouterState.decide(key: SessionKey, version: VersionId, now: Timestamp): Step {
    val known = assignedOrNull(key) == version
    val next = assigned(key, version, now)
    val heir = rendezvousOrNull(livePeers(now), key)
    if (known || heir == null) return next.unchanged()
    return next.sendToPeer(heir, PeerMessage.TellSession(key.workspace, key.session, version))
}
