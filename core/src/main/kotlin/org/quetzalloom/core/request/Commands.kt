package org.quetzalloom.core.request

import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.ledger.CommandEntry
import org.quetzalloom.core.log.LogRecord
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.enqueue
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/** Asks for the right to run the command of [request], unless it has been asked for already. */
internal fun RouterState.proposeIntent(request: ActiveRequest, now: Timestamp): Step {
    val command = requireNotNull(request.command) { "request ${request.id} is not a command" }
    if (command in ledger.entries) return copy(requests = requests.put(request)).advanceCommand(request, now)
    val intent = LogRecord.Intent(command, settings.vm, request.id, request.fingerprint)
    return enqueue(intent).put(request.copy(phase = Phase.AwaitingIntent))
        .then { it.report(now, "intent_proposed", "request" to request.id, "key" to command.key) }
}

/** Moves the command of [request] on by what the log says of it. */
internal fun RouterState.advanceCommand(request: ActiveRequest, now: Timestamp): Step {
    val command = request.command ?: return unchanged()
    val entry = ledger.entries[command]
    return when {
        entry == null -> if (request.phase is Phase.AwaitingIntent) unchanged() else proposeIntent(request, now)
        entry.request == request.id -> onIntentWon(request, entry, now)
        entry.fingerprint != request.fingerprint ->
            refuse(request, ErrorKind.KEY_REUSED, "key '${command.key}' was used with another request", now)
        entry.result != null -> replayOutcome(request, entry.result, now)
        else -> put(request.copy(phase = Phase.AwaitingOutcome))
    }
}

private fun RouterState.onIntentWon(request: ActiveRequest, entry: CommandEntry, now: Timestamp): Step =
    put(request.copy(phase = Phase.Queued, fencing = entry.offset))
        .then { it.report(now, "intent_won", "request" to request.id, "fencing" to entry.offset) }
