package org.quetzalloom.core.request

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.quarantine.cleared
import org.quetzalloom.core.quarantine.isTriedElsewhere
import org.quetzalloom.core.quarantine.trialServers
import org.quetzalloom.core.quarantine.withTrial
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.rendezvousOrNull
import org.quetzalloom.core.router.tellAll
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/** The tokens after which a trial has gone on for longer than the run that a backend server went down in. */
internal const val CLEARING_TOKENS = 8

/** Lets [request], which is suspected, run as a trial, or wait until it may. */
internal fun RouterState.startTrialOrWait(request: ActiveRequest, now: Timestamp): Step {
    val suspicion = quarantine.suspicions[request.fingerprint]
    return when {
        suspicion == null -> put(request.copy(phase = Phase.Queued))
        suspicion.condemned ->
            refuse(request, ErrorKind.QUARANTINED, "the request took down two backend servers", now)
        isTriedElsewhere(request.fingerprint, now) || hasOtherActiveCopy(request) ->
            put(request.copy(phase = Phase.AwaitingTrial))
        else -> announceTrial(request, now)
    }
}

/** Returns whether another request with the same content is tried here. */
private fun RouterState.hasOtherActiveCopy(request: ActiveRequest): Boolean = requests.active.values.any {
    it.id != request.id && it.fingerprint == request.fingerprint && it.phase !is Phase.AwaitingTrial
}

/** Tells the peers at which backend server [request] is to be tried, once there is one. */
private fun RouterState.announceTrial(request: ActiveRequest, now: Timestamp): Step {
    val suspicion = quarantine.suspicions.getValue(request.fingerprint)
    val server = trialServerOrNull(request, now)
    val waits = suspicion.trialBy == settings.vm && server == null
    if (waits) return put(request.copy(phase = Phase.AwaitingTrial))
    val crashed = suspicion.servers.min()
    val phase = if (server == null) Phase.AwaitingTrial else Phase.AwaitingTrialConsent(now)
    return withTrial(request.fingerprint, by = settings.vm, at = server, now = now)
        .tellAll(livePeers(now), PeerMessage.Suspect(request.fingerprint, crashed, trial = true, trialAt = server))
        .then { it.put(request.copy(phase = phase)) }
}

private fun RouterState.trialServerOrNull(request: ActiveRequest, now: Timestamp): BackendServerId? {
    val crashed = quarantine.suspicions[request.fingerprint]?.servers.orEmpty()
    val taken = trialServers(request.fingerprint, now)
    val free = serversFor(request).map { it.id }.filter { it !in crashed && it !in taken }
    return rendezvousOrNull(free, request.fingerprint)
}

/** Lets [request] run once its peers have agreed to the trial, or did not answer for a while. */
internal fun RouterState.advanceTrialConsent(
    request: ActiveRequest,
    phase: Phase.AwaitingTrialConsent,
    now: Timestamp,
): Step {
    val suspicion = quarantine.suspicions[request.fingerprint]
    val agreed = suspicion?.notedBy.orEmpty().containsAll(livePeers(now))
    val waited = now - phase.since >= settings.limits.verdictMilliseconds
    return when {
        suspicion?.trialBy != settings.vm || suspicion.trialAt == null -> startTrialOrWait(request, now)
        agreed || waited -> put(request.copy(phase = Phase.Queued))
        else -> unchanged()
    }
}

/** Returns whether [request] is tried here after it was suspected. */
internal fun RouterState.isOnTrialHere(request: ActiveRequest): Boolean =
    quarantine.suspicions[request.fingerprint]?.trialBy == settings.vm

/** Returns whether [request] waits for a trial at a backend server that may no longer be used. */
internal fun RouterState.hasLostTrialServer(request: ActiveRequest): Boolean {
    if (!isOnTrialHere(request)) return false
    val server = quarantine.suspicions[request.fingerprint]?.trialAt
    return serversFor(request).none { it.id == server }
}

/** Lets go of what was held against [request], which has run further than where it was suspected. */
internal fun RouterState.clearSuspicion(request: ActiveRequest, now: Timestamp): Step {
    if (request.fingerprint !in quarantine.suspicions) return unchanged()
    return cleared(request.fingerprint).tellAll(livePeers(now), PeerMessage.Cleared(request.fingerprint))
}

/** Ends the trial of [request] without a verdict, so that another may be tried. */
internal fun RouterState.abandonTrial(request: ActiveRequest, now: Timestamp): Step {
    val suspicion = quarantine.suspicions[request.fingerprint]
    if (suspicion == null || suspicion.trialBy != settings.vm || hasOtherActiveCopy(request)) return unchanged()
    val crashed = suspicion.servers.min()
    return withTrial(request.fingerprint, by = null, at = null, now = now)
        .tellAll(livePeers(now), PeerMessage.Suspect(request.fingerprint, crashed, trial = false))
}
