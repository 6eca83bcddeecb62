package org.quetzalloom.core.quarantine

import kotlinx.collections.immutable.persistentSetOf
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.tell
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/** Remembers requests that took down backend servers, and shares what it knows with peers. */
internal object QuarantinePart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.PeerTold -> state.told(event, now)
        is Event.Tick -> state.forgetOld(now).unchanged()
        else -> state.unchanged()
    }

    private fun RouterState.told(event: Event.PeerTold, now: Timestamp): Step = when (val message = event.message) {
        is PeerMessage.Suspect -> suspect(event.from, message, now)
        is PeerMessage.SuspectNoted -> noted(message.fingerprint, event.from).unchanged()
        is PeerMessage.Cleared -> cleared(message.fingerprint).unchanged()
        else -> unchanged()
    }

    private fun RouterState.suspect(from: VmId, message: PeerMessage.Suspect, now: Timestamp): Step =
        suspected(message.fingerprint, message.server, from.takeIf { message.trial }, now)
            .tell(from, PeerMessage.SuspectNoted(message.fingerprint))
            .then { it.report(now, "request_suspected", "fingerprint" to message.fingerprint, "by" to from) }

    private fun RouterState.noted(fingerprint: Fingerprint, by: VmId): RouterState {
        val known = quarantine.suspicions[fingerprint] ?: return this
        return withSuspicion(fingerprint, known.copy(notedBy = known.notedBy.add(by)))
    }

    private fun RouterState.forgetOld(now: Timestamp): RouterState {
        val old = quarantine.suspicions.filterValues { now - it.at > settings.limits.suspicionMilliseconds }.keys
        return old.fold(this) { state, fingerprint -> state.cleared(fingerprint) }
    }
}

/** Returns the state after the request of [fingerprint] took down [server]. */
internal fun RouterState.suspected(
    fingerprint: Fingerprint,
    server: BackendServerId,
    trialBy: VmId?,
    now: Timestamp,
): RouterState {
    val known = quarantine.suspicions[fingerprint]
    val servers = (known?.servers ?: persistentSetOf()).add(server)
    return withSuspicion(fingerprint, Suspicion(servers = servers, at = now, trialBy = trialBy))
}

/** Returns the state in which nothing is held against the request of [fingerprint]. */
internal fun RouterState.cleared(fingerprint: Fingerprint): RouterState =
    copy(quarantine = quarantine.copy(suspicions = quarantine.suspicions.remove(fingerprint)))

private fun RouterState.withSuspicion(fingerprint: Fingerprint, suspicion: Suspicion): RouterState =
    copy(quarantine = quarantine.copy(suspicions = quarantine.suspicions.put(fingerprint, suspicion)))

/** Returns whether another VM runs the suspected request of [fingerprint] at this time. */
internal fun RouterState.isTriedElsewhere(fingerprint: Fingerprint, now: Timestamp): Boolean {
    val suspicion = quarantine.suspicions[fingerprint] ?: return false
    val by = suspicion.trialBy
    return by != null && by != settings.vm && now - suspicion.trialSince < settings.limits.trialMilliseconds
}
