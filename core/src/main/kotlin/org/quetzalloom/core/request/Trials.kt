package org.quetzalloom.core.request

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.quarantine.isTriedElsewhere
import org.quetzalloom.core.quarantine.suspected
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.tellAll
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/** Lets [request] run once peers have noted that, or after a while. */
internal fun RouterState.awaitNotes(request: ActiveRequest, phase: Phase.AwaitingNotes, now: Timestamp): Step {
    val noted = quarantine.suspicions[request.fingerprint]?.notedBy.orEmpty()
    val complete = noted.containsAll(livePeers(now))
    val waited = now - phase.since >= settings.limits.verdictMilliseconds
    return if (complete || waited) put(request.copy(phase = Phase.Queued)) else unchanged()
}

/** Lets [request] run, or refuses it, once no other VM tries it. */
internal fun RouterState.awaitTrial(request: ActiveRequest, now: Timestamp): Step {
    val suspicion = quarantine.suspicions[request.fingerprint]
    return when {
        suspicion == null -> put(request.copy(phase = Phase.Queued))
        suspicion.condemned ->
            refuse(request, ErrorKind.QUARANTINED, "the request took down two backend servers", now)
        isTriedElsewhere(request.fingerprint, now) -> unchanged()
        else -> startTrial(request, now)
    }
}

/** Runs a suspected request once more, after its peers have noted that. */
internal fun RouterState.startTrial(request: ActiveRequest, now: Timestamp): Step {
    val server = quarantine.suspicions[request.fingerprint]?.servers?.minOrNull()
        ?: return put(request.copy(phase = Phase.Queued))
    return suspected(request.fingerprint, server, trialBy = settings.vm, now = now)
        .tellAll(livePeers(now), PeerMessage.Suspect(request.fingerprint, server, trial = true))
        .then { it.put(request.copy(phase = Phase.AwaitingNotes(now))) }
}
