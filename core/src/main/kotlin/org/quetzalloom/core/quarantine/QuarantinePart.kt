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
import org.quetzalloom.core.router.tell
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
        is Event.PeerTold -> state.onPeerMessage(event, now)
        is Event.Tick -> state.removeExpired(now).unchanged()
        else -> state.unchanged()
    }

    private fun RouterState.onPeerMessage(
        event: Event.PeerTold,
        now: Timestamp,
    ): Step = when (val message = event.message) {
        is PeerMessage.Suspect -> onSuspect(event, message, now)
        is PeerMessage.SuspectNoted -> onSuspectNoted(event.from, message).unchanged()
        is PeerMessage.Cleared -> withoutSuspicion(message.fingerprint).unchanged()
        else -> unchanged()
    }

    private fun RouterState.onSuspect(event: Event.PeerTold, message: PeerMessage.Suspect, now: Timestamp): Step {
        val from = event.from
        val competing = ownTrials()
            .filterValues { it.trialServer != null && it.trialServer == message.trialAt }.keys
            .filter { it != message.fingerprint }
        val keepsOwn = message.trial && keepsOwnTrial(message.fingerprint, from)
        val agreed = !keepsOwn && competing.none { it.value < message.fingerprint.value || hasStarted(it) }
        val yielded = if (agreed) competing.fold(this) { state, trial -> state.withoutTrialServer(trial) } else this
        val known = yielded.withCrash(message.fingerprint, message.server, now)
        val trialVm = from.takeIf { message.trial }
        val next =
            if (keepsOwn) known else known.withTrial(message.fingerprint, trialVm, message.trialAt, now, event.stamp)
        return next.tell(from, PeerMessage.SuspectNoted(message.fingerprint, message.trialAt, agreed))
            .then { it.report(now, "request_suspected", "fingerprint" to message.fingerprint, "by" to from) }
    }

    private fun RouterState.ownTrials() = quarantine.suspicions.filterValues { it.trialVm == settings.vm }

    /** Returns whether this VM goes on with its own trial of the request that [other] wants to try. */
    private fun RouterState.keepsOwnTrial(fingerprint: Fingerprint, other: VmId): Boolean =
        fingerprint in ownTrials() && (hasStarted(fingerprint) || settings.vm < other)

    private fun RouterState.hasStarted(fingerprint: Fingerprint): Boolean =
        requests.active.values.any {
            it.fingerprint == fingerprint && (it.phase is Phase.Queued || it.phase is Phase.Running)
        }

    private fun RouterState.withoutTrialServer(fingerprint: Fingerprint): RouterState {
        val known = quarantine.suspicions[fingerprint] ?: return this
        return withSuspicion(fingerprint, known.copy(trialServer = null))
    }

    private fun RouterState.onSuspectNoted(peer: VmId, message: PeerMessage.SuspectNoted): RouterState {
        val known = quarantine.suspicions[message.fingerprint]
            ?.takeIf { it.trialVm == settings.vm && it.trialServer == message.trialAt }
            ?: return this
        val next =
            if (message.agreed) known.copy(agreedBy = known.agreedBy.add(peer)) else known.copy(trialServer = null)
        return withSuspicion(message.fingerprint, next)
    }

    private fun RouterState.removeExpired(now: Timestamp): RouterState {
        val expired = quarantine.suspicions
            .filterValues { now - it.suspectedAt > settings.limits.suspicionMilliseconds }.keys
        return expired.fold(this) { state, fingerprint -> state.withoutSuspicion(fingerprint) }
    }
}
