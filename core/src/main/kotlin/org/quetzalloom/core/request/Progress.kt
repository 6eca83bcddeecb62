package org.quetzalloom.core.request

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.ledger.CommandEntry
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.quarantine.isTriedElsewhere
import org.quetzalloom.core.quarantine.suspected
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.enqueue
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.tellAll
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.session.assignedOrNull
import org.quetzalloom.core.session.decide
import org.quetzalloom.core.time.Timestamp

/** Returns the transition that keeps [request] as it is now. */
internal fun RouterState.put(request: ActiveRequest): Step = copy(requests = requests.put(request)).unchanged()

/** Moves every request on that waits for something which has come about. */
internal fun RouterState.advanceAll(now: Timestamp): Step =
    requests.waiting.sorted().fold(unchanged()) { reached, id ->
        reached.then { state -> state.requests.active[id]?.let { state.advance(it, now) } ?: state.unchanged() }
    }

private fun RouterState.advance(request: ActiveRequest, now: Timestamp): Step = when (val phase = request.phase) {
    is Phase.AwaitingSession -> awaitSession(request, phase, now)
    is Phase.AwaitingIntent, is Phase.AwaitingOutcome -> awaitCommand(request, now)
    is Phase.AwaitingVerdict ->
        if (now - phase.since < settings.limits.verdictMilliseconds) unchanged() else crashed(request, phase.server, now)
    is Phase.AwaitingNotes -> awaitNotes(request, phase, now)
    is Phase.AwaitingTrial -> awaitTrial(request, now)
    is Phase.Settling -> awaitBill(request, phase, now)
    is Phase.Queued, is Phase.Running -> unchanged()
}

private fun RouterState.awaitSession(request: ActiveRequest, phase: Phase.AwaitingSession, now: Timestamp): Step {
    val key = request.sessionKey ?: return put(request.copy(phase = Phase.Queued))
    val assigned = assignedOrNull(key)
    return when {
        assigned != null && isNamedBy(request, assigned) ->
            put(request.pinnedTo(assigned).copy(phase = Phase.Queued))
        assigned != null -> put(request.copy(phase = Phase.Queued))
        now - phase.since < settings.limits.sessionAnswerMilliseconds -> unchanged()
        else -> decide(key, request.version, now).then {
            it.put(request.pinnedTo(request.version).copy(phase = Phase.Queued))
        }
    }
}

private fun RouterState.isNamedBy(
    request: ActiveRequest,
    version: VersionId,
): Boolean = configuration.view.current?.versions?.get(version)?.let { request.call.target.names(it) } == true

/** Asks for the right to run the command of [request], unless it has been asked for already. */
internal fun RouterState.propose(request: ActiveRequest, now: Timestamp): Step {
    val command = requireNotNull(request.command) { "request ${request.id} is not a command" }
    if (command in ledger.entries) return copy(requests = requests.put(request)).awaitCommand(request, now)
    val intent = LogRecord.Intent(command, settings.vm, request.id, request.fingerprint)
    return enqueue(intent).put(request.copy(phase = Phase.AwaitingIntent))
        .then { it.report(now, "intent_proposed", "request" to request.id, "key" to command.key) }
}

private fun RouterState.awaitCommand(request: ActiveRequest, now: Timestamp): Step {
    val command = request.command ?: return unchanged()
    val entry = ledger.entries[command]
    return when {
        entry == null -> if (request.phase is Phase.AwaitingIntent) unchanged() else propose(request, now)
        entry.request == request.id -> won(request, entry, now)
        entry.fingerprint != request.fingerprint ->
            refuse(request, ErrorKind.KEY_REUSED, "key '${command.key}' was used with another request", now)
        entry.result != null -> replay(request, entry.result, now)
        else -> put(request.copy(phase = Phase.AwaitingOutcome))
    }
}

private fun RouterState.won(request: ActiveRequest, entry: CommandEntry, now: Timestamp): Step =
    put(request.copy(phase = Phase.Queued, fencing = entry.offset))
        .then { it.report(now, "intent_won", "request" to request.id, "fencing" to entry.offset) }

private fun RouterState.awaitNotes(request: ActiveRequest, phase: Phase.AwaitingNotes, now: Timestamp): Step {
    val noted = quarantine.suspicions[request.fingerprint]?.notedBy.orEmpty()
    val complete = noted.containsAll(livePeers(now))
    val waited = now - phase.since >= settings.limits.verdictMilliseconds
    return if (complete || waited) put(request.copy(phase = Phase.Queued)) else unchanged()
}

private fun RouterState.awaitTrial(request: ActiveRequest, now: Timestamp): Step {
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
