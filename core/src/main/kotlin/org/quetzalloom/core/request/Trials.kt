package org.quetzalloom.core.request

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.quarantine.isOnTrialElsewhere
import org.quetzalloom.core.quarantine.otherTrialServers
import org.quetzalloom.core.quarantine.withTrial
import org.quetzalloom.core.quarantine.withoutSuspicion
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.rendezvousOrNull
import org.quetzalloom.core.router.sendToPeers
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * A suspected request is cleared once an attempt has delivered this many tokens more than were delivered before the
 * crash. It then has passed the point at which the backend server went down.
 */
internal const val CLEARING_TOKENS = 8

/**
 * Claims the trial of [request], or leaves it waiting while a request with the same content is on trial elsewhere or
 * active here, or while no backend server is free.
 *
 * A request that is no longer suspected is queued; one that has taken down two backend servers is refused.
 */
internal fun RouterState.startTrialOrWait(request: ActiveRequest, now: Timestamp): Step {
    val suspicion = quarantine.suspicions[request.fingerprint]
    return when {
        suspicion == null -> put(request.copy(phase = Phase.Queued))
        suspicion.quarantined ->
            refuse(request, ErrorKind.QUARANTINED, "the request took down two backend servers", now)
        isOnTrialElsewhere(request.fingerprint, now) || hasOtherActiveCopy(request) ->
            put(request.copy(phase = Phase.AwaitingTrial))
        else -> announceTrial(request, now)
    }
}

/** Returns whether another request with the same content is active at this VM and not waiting for its trial. */
private fun RouterState.hasOtherActiveCopy(request: ActiveRequest): Boolean = requests.active.values.any {
    it.id != request.id && it.fingerprint == request.fingerprint && it.phase !is Phase.AwaitingTrial
}

/**
 * Claims the trial of [request] for this VM and announces it to the peers, with its backend server if one is free.
 *
 * Without a free backend server, the claim is announced once and the request waits.
 */
private fun RouterState.announceTrial(request: ActiveRequest, now: Timestamp): Step {
    val suspicion = quarantine.suspicions.getValue(request.fingerprint)
    val server = trialServerOrNull(request, now)
    val alreadyAnnounced = suspicion.trialVm == settings.vm && server == null
    if (alreadyAnnounced) return put(request.copy(phase = Phase.AwaitingTrial))
    // A suspicion that is not quarantined has exactly one server.
    val crashedServer = suspicion.servers.min()
    val phase = if (server == null) Phase.AwaitingTrial else Phase.AwaitingTrialConsent(now)
    return withTrial(request.fingerprint, vm = settings.vm, trialServer = server, now = now)
        .sendToPeers(
            livePeers(now),
            PeerMessage.Suspect(request.fingerprint, crashedServer, trial = true, trialAt = server),
        )
        .then { it.put(request.copy(phase = phase)) }
}

/**
 * Returns a backend server for the trial of [request], or `null` if none is free.
 *
 * It is neither one that went down under the request nor one at which another suspect is tried, so that a second crash
 * has only one possible cause.
 */
private fun RouterState.trialServerOrNull(request: ActiveRequest, now: Timestamp): BackendServerId? {
    val crashedServers = quarantine.suspicions[request.fingerprint]?.servers.orEmpty()
    val taken = otherTrialServers(request.fingerprint, now)
    val free = serversFor(request).map { it.id }.filter { it !in crashedServers && it !in taken }
    return rendezvousOrNull(free, request.fingerprint)
}

/**
 * Queues [request] for its trial once all live peers have agreed, or `crashCheckTimeoutMilliseconds` have passed.
 *
 * Starts over if this VM has lost the trial or its backend server to a peer.
 */
internal fun RouterState.advanceTrialConsent(
    request: ActiveRequest,
    phase: Phase.AwaitingTrialConsent,
    now: Timestamp,
): Step {
    val suspicion = quarantine.suspicions[request.fingerprint]
    val agreed = suspicion?.agreedBy.orEmpty().containsAll(livePeers(now))
    val timedOut = now - phase.since >= settings.limits.crashCheckTimeoutMilliseconds
    return when {
        suspicion?.trialVm != settings.vm || suspicion.trialServer == null -> startTrialOrWait(request, now)
        agreed || timedOut -> put(request.copy(phase = Phase.Queued))
        else -> unchanged()
    }
}

/** Returns whether [request] is suspected and this VM owns its trial. */
internal fun RouterState.isOnTrialHere(request: ActiveRequest): Boolean =
    quarantine.suspicions[request.fingerprint]?.trialVm == settings.vm

/** Returns whether this VM owns the trial of [request], but its backend server may no longer be used. */
internal fun RouterState.hasLostTrialServer(request: ActiveRequest): Boolean {
    if (!isOnTrialHere(request)) return false
    val server = quarantine.suspicions[request.fingerprint]?.trialServer
    return serversFor(request).none { it.id == server }
}

/** Drops the suspicion against [request], here and at the peers, since it has run past the point of the crash. */
internal fun RouterState.clearSuspicion(request: ActiveRequest, now: Timestamp): Step {
    if (request.fingerprint !in quarantine.suspicions) return unchanged()
    return withoutSuspicion(request.fingerprint).sendToPeers(livePeers(now), PeerMessage.Cleared(request.fingerprint))
}

/**
 * Gives up the trial of [request] without a result, so that another request with the same content may be tried.
 *
 * Does nothing if [request] is not suspected, if this VM does not own the trial, or if another request with the same
 * content is active here and not waiting for its trial.
 */
internal fun RouterState.abandonTrial(request: ActiveRequest, now: Timestamp): Step {
    val suspicion = quarantine.suspicions[request.fingerprint]
    if (suspicion == null || suspicion.trialVm != settings.vm || hasOtherActiveCopy(request)) return unchanged()
    // The message names one server. If there is another, the peers learn of it from its own announcement.
    val crashedServer = suspicion.servers.min()
    return withTrial(request.fingerprint, vm = null, trialServer = null, now = now)
        .sendToPeers(livePeers(now), PeerMessage.Suspect(request.fingerprint, crashedServer, trial = false))
}
