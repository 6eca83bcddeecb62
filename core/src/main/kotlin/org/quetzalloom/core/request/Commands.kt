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

/**
 * Proposes to run the command of [request]: appends an intent to the log and waits until it is read back.
 *
 * The first intent of a command in the log wins, and all VMs see the same one. Nothing is appended if an intent of the
 * command is known already.
 */
internal fun RouterState.proposeIntent(request: ActiveRequest, now: Timestamp): Step {
    val command = requireNotNull(request.command) { "request ${request.id} is not a command" }
    if (command in ledger.entries) return copy(requests = requests.put(request)).advanceCommand(request, now)
    val intent = LogRecord.Intent(command, settings.vm, request.id, request.fingerprint)
    return enqueue(intent).put(request.copy(phase = Phase.AwaitingIntent))
        .then { it.report(now, "intent_proposed", "request" to request.id, "key" to command.key) }
}

/**
 * Advances the command of [request] by its entry in the ledger, which follows the log.
 *
 * A request whose own intent won is queued. One with another content under the same key is refused, and a re-send is
 * answered with the recorded outcome or waits for it.
 */
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

/** Queues [request] with the offset of its intent as fencing number. */
private fun RouterState.onIntentWon(request: ActiveRequest, entry: CommandEntry, now: Timestamp): Step =
    put(request.copy(phase = Phase.Queued, fencing = entry.offset))
        .then { it.report(now, "intent_won", "request" to request.id, "fencing" to entry.offset) }
