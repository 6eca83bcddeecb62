package org.quetzalloom.core.quarantine

import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.request.Fingerprint
import org.quetzalloom.core.request.Phase
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.sendToPeer
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Remembers requests that took down backend servers, and shares what it knows with peers.
 *
 * Such a request is tried once more, by one VM and at a backend server where no other suspect is tried, so that a
 * second crash says for certain which request brought it about. VMs that want the same backend server settle it by
 * the smaller fingerprint, unless a trial already runs.
 */
internal object QuarantinePart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.FromPeer -> state.told(event, now)
        is Event.Tick -> state.forgetOld(now).unchanged()
        else -> state.unchanged()
    }

    private fun RouterState.told(event: Event.FromPeer, now: Timestamp): Step = when (val message = event.message) {
        is PeerMessage.Suspect -> suspect(event, message, now)
        is PeerMessage.SuspectNoted -> noted(event.from, message).unchanged()
        is PeerMessage.Cleared -> cleared(message.fingerprint).unchanged()
        else -> unchanged()
    }

    private fun RouterState.suspect(event: Event.FromPeer, message: PeerMessage.Suspect, now: Timestamp): Step {
        val from = event.from
        val rivals = ownTrials().filterValues { it.trialAt != null && it.trialAt == message.trialAt }.keys
            .filter { it != message.fingerprint }
        val keepsOwn = message.trial && keepsOwnTrial(message.fingerprint, from)
        val agreed = !keepsOwn && rivals.none { it.value < message.fingerprint.value || hasBegun(it) }
        val yielded = if (agreed) rivals.fold(this) { state, rival -> state.withoutTrialServer(rival) } else this
        val noted = yielded.suspected(message.fingerprint, message.server, now)
        val by = from.takeIf { message.trial }
        val next = if (keepsOwn) noted else noted.withTrial(message.fingerprint, by, message.trialAt, now, event.stamp)
        return next.sendToPeer(from, PeerMessage.SuspectNoted(message.fingerprint, message.trialAt, agreed))
            .then { it.report(now, "request_suspected", "fingerprint" to message.fingerprint, "by" to from) }
    }

    private fun RouterState.ownTrials() = quarantine.suspicions.filterValues { it.trialBy == settings.vm }

    /** Returns whether this VM goes on with its own trial of the request that [other] wants to try. */
    private fun RouterState.keepsOwnTrial(fingerprint: Fingerprint, other: VmId): Boolean =
        fingerprint in ownTrials() && (hasBegun(fingerprint) || settings.vm < other)

    private fun RouterState.hasBegun(fingerprint: Fingerprint): Boolean =
        requests.active.values.any {
            it.fingerprint == fingerprint && (it.phase is Phase.Queued || it.phase is Phase.Running)
        }

    private fun RouterState.withoutTrialServer(fingerprint: Fingerprint): RouterState {
        val known = quarantine.suspicions[fingerprint] ?: return this
        return withSuspicion(fingerprint, known.copy(trialAt = null))
    }

    private fun RouterState.noted(by: VmId, message: PeerMessage.SuspectNoted): RouterState {
        val known = quarantine.suspicions[message.fingerprint]
            ?.takeIf { it.trialBy == settings.vm && it.trialAt == message.trialAt }
            ?: return this
        val next = if (message.agreed) known.copy(notedBy = known.notedBy.add(by)) else known.copy(trialAt = null)
        return withSuspicion(message.fingerprint, next)
    }

    private fun RouterState.forgetOld(now: Timestamp): RouterState {
        val old = quarantine.suspicions
            .filterValues { now - it.at > settings.limits.suspicionRetentionMilliseconds }.keys
        return old.fold(this) { state, fingerprint -> state.cleared(fingerprint) }
    }
}
