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
 * Quarantines requests that crash backend servers, and shares the suspicions with the peers.
 *
 * A request under which a backend server went down is suspected. It is run once more as a trial, by one VM and at a
 * backend server where no other suspect is on trial, so that a second crash has only one possible cause. If VMs claim
 * the same backend server for different requests, the smaller fingerprint wins, unless a trial has already started.
 */
internal object QuarantinePart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step = when (event) {
        is Event.FromPeer -> state.onPeerMessage(event, now)
        is Event.Tick -> state.removeExpired(now).unchanged()
        else -> state.unchanged()
    }

    private fun RouterState.onPeerMessage(
        event: Event.FromPeer,
        now: Timestamp,
    ): Step = when (val message = event.message) {
        is PeerMessage.Suspect -> onSuspect(event, message, now)
        is PeerMessage.SuspectNoted -> onSuspectNoted(event.from, message).unchanged()
        is PeerMessage.Cleared -> withoutSuspicion(message.fingerprint).unchanged()
        else -> unchanged()
    }

    /**
     * Records the suspicion that a peer announced, and answers whether this VM agrees to the trial of the peer.
     *
     * It does not agree if its own trial of the same request goes on, or if one of its trials holds the same backend
     * server and takes precedence. If it agrees, its own competing trials give up that backend server.
     */
    private fun RouterState.onSuspect(event: Event.FromPeer, message: PeerMessage.Suspect, now: Timestamp): Step {
        val from = event.from
        val competing = ownTrials()
            .filterValues { it.trialServer != null && it.trialServer == message.trialAt }.keys
            .filter { it != message.fingerprint }
        val keepsOwn = message.trial && keepsOwnTrial(message.fingerprint, from)
        val agreed = !keepsOwn && competing.none { it.value < message.fingerprint.value || hasStarted(it) }
        val yielded = if (agreed) competing.fold(this) { state, trial -> state.withoutTrialServer(trial) } else this
        val recorded = yielded.withCrash(message.fingerprint, message.server, now)
        val trialVm = from.takeIf { message.trial }
        val next = if (keepsOwn) {
            recorded
        } else {
            recorded.withTrial(message.fingerprint, trialVm, message.trialAt, now, event.stamp)
        }
        return next.sendToPeer(from, PeerMessage.SuspectNoted(message.fingerprint, message.trialAt, agreed))
            .then { it.report(now, "request_suspected", "fingerprint" to message.fingerprint, "by" to from) }
    }

    private fun RouterState.ownTrials() = quarantine.suspicions.filterValues { it.trialVm == settings.vm }

    /**
     * Returns whether this VM keeps its own trial of the request that [other] wants to try.
     *
     * It does if the trial has started, or if this VM has the smaller id.
     */
    private fun RouterState.keepsOwnTrial(fingerprint: Fingerprint, other: VmId): Boolean =
        fingerprint in ownTrials() && (hasStarted(fingerprint) || settings.vm < other)

    /** Returns whether a request of [fingerprint] is queued or running at this VM, past the wait for its trial. */
    private fun RouterState.hasStarted(fingerprint: Fingerprint): Boolean =
        requests.active.values.any {
            it.fingerprint == fingerprint && (it.phase is Phase.Queued || it.phase is Phase.Running)
        }

    /** Returns the state in which the trial of [fingerprint] has no backend server, so that it must choose another. */
    private fun RouterState.withoutTrialServer(fingerprint: Fingerprint): RouterState {
        val suspicion = quarantine.suspicions[fingerprint] ?: return this
        return withSuspicion(fingerprint, suspicion.copy(trialServer = null))
    }

    /** Records that [peer] agrees to the trial, or gives up the backend server of the trial if it does not. */
    private fun RouterState.onSuspectNoted(peer: VmId, message: PeerMessage.SuspectNoted): RouterState {
        val suspicion = quarantine.suspicions[message.fingerprint]
            ?.takeIf { it.trialVm == settings.vm && it.trialServer == message.trialAt }
            ?: return this
        val next = if (message.agreed) {
            suspicion.copy(agreedBy = suspicion.agreedBy.add(peer))
        } else {
            suspicion.copy(trialServer = null)
        }
        return withSuspicion(message.fingerprint, next)
    }

    /** Removes suspicions whose last crash was longer ago than `suspicionRetentionMilliseconds`. */
    private fun RouterState.removeExpired(now: Timestamp): RouterState {
        val expired = quarantine.suspicions
            .filterValues { now - it.suspectedAt > settings.limits.suspicionRetentionMilliseconds }.keys
        return expired.fold(this) { state, fingerprint -> state.withoutSuspicion(fingerprint) }
    }
}
