package org.quetzalloom.core.request

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import com.github.michaelbull.result.binding
import com.github.michaelbull.result.fold
import org.quetzalloom.core.configuration.Configuration
import org.quetzalloom.core.configuration.Version
import org.quetzalloom.core.configuration.isFresh
import org.quetzalloom.core.drain.takesNewWork
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.ledger.CommandId
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.quarantine.isTriedElsewhere
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.tell
import org.quetzalloom.core.router.with
import org.quetzalloom.core.session.SessionKey
import org.quetzalloom.core.session.SessionToken
import org.quetzalloom.core.session.assignedOrNull
import org.quetzalloom.core.session.decide
import org.quetzalloom.core.session.sessionHome
import org.quetzalloom.core.time.Timestamp

/** What a request that may be taken needs to go on. */
private data class Admitted(
    val versions: List<Version>,
    val command: CommandId?,
    val token: SessionToken?,
)

/** Takes a request that arrives, or refuses it. */
internal fun RouterState.arrive(event: Event.OfCaller.Arrived, now: Timestamp): Step =
    admit(event.call, now).fold(
        success = { take(event, it, now) },
        failure = { refuseAtOnce(event, it, now) },
    )

private fun RouterState.refuseAtOnce(event: Event.OfCaller.Arrived, error: RouterError, now: Timestamp): Step =
    with(Effect.OfCaller.Refuse(event.request, error)).then {
        it.report(
            now,
            "request_refused",
            "request" to event.request,
            "workspace" to event.call.workspace,
            "key" to event.call.key,
            "session" to event.call.session,
            "error" to error.kind.code,
        )
    }

private fun RouterState.admit(call: CallerRequest, now: Timestamp): Result<Admitted, RouterError> = binding {
    val current = readyConfiguration(now).bind()
    val versions = current.versionsFor(call).bind()
    val command = current.commandOf(call).bind()
    val token = tokenOf(call).bind()
    checkQuarantine(call).bind()
    checkRoom(call).bind()
    Admitted(versions, command, token)
}

private fun RouterState.readyConfiguration(now: Timestamp): Result<Configuration, RouterError> {
    val current = configuration.view.current
    return when {
        !takesNewWork(now) -> Err(RouterError(ErrorKind.SHUTTING_DOWN, "VM '${settings.vm}' is shutting down"))
        current == null || !isFresh(now) -> Err(
            RouterError(ErrorKind.NOT_READY, "VM '${settings.vm}' has no configuration that is known to be in force"),
        )
        else -> Ok(current)
    }
}

/** Returns the command that [call] is, or `null` where it may be repeated. */
private fun Configuration.commandOf(call: CallerRequest): Result<CommandId?, RouterError> {
    val target = call.target as? Target.ServiceCall ?: return Ok(null)
    val repeatable = target.method !in routeOrNull(target.path)?.nonRepeatableMethods.orEmpty()
    val key = call.key
    return when {
        repeatable -> Ok(null)
        key != null -> Ok(CommandId(call.workspace, key))
        else -> Err(
            RouterError(
                ErrorKind.KEY_MISSING,
                "${target.method} ${target.path} may not be repeated and needs an idempotency key",
            ),
        )
    }
}

private fun RouterState.tokenOf(call: CallerRequest): Result<SessionToken?, RouterError> {
    val text = call.sessionToken ?: return Ok(null)
    val token = SessionToken.parseOrNull(text, settings.sessionSecret)
    return if (token != null && token.workspace == call.workspace && token.session == call.session) {
        Ok(token)
    } else {
        Err(RouterError(ErrorKind.BAD_SESSION_TOKEN, "the session token was not signed for this workspace and session"))
    }
}

private fun RouterState.checkQuarantine(call: CallerRequest): Result<Unit, RouterError> =
    if (quarantine.suspicions[Fingerprint.of(call)]?.condemned == true) {
        Err(RouterError(ErrorKind.QUARANTINED, "the request took down two backend servers"))
    } else {
        Ok(Unit)
    }

private fun RouterState.checkRoom(call: CallerRequest): Result<Unit, RouterError> {
    val limit = settings.limits.activeRequests
    return if (settings.policies.admission.admits(call.priority, requests.active.size, limit)) {
        Ok(Unit)
    } else {
        Err(RouterError(ErrorKind.OVERLOADED, "${requests.active.size} requests are active"))
    }
}

private fun RouterState.take(event: Event.OfCaller.Arrived, admitted: Admitted, now: Timestamp): Step {
    val fingerprint = Fingerprint.of(event.call)
    val subject = event.call.session?.let { SessionKey(event.call.workspace, it).toString() } ?: event.request.value
    val request = ActiveRequest(
        id = event.request,
        call = event.call,
        fingerprint = fingerprint,
        arrivedAt = now,
        phase = if (isTriedElsewhere(fingerprint, now)) Phase.AwaitingTrial else Phase.Queued,
        version = chooseVersion(event.call, admitted.versions, subject),
        command = admitted.command,
    )
    return copy(requests = requests.withBudget(settings.limits.retryShare))
        .report(
            now,
            "request_arrived",
            "request" to request.id,
            "workspace" to event.call.workspace,
            "session" to event.call.session,
            "key" to event.call.key,
        )
        .then { it.begin(request, admitted, now) }
}

private fun RouterState.begin(request: ActiveRequest, admitted: Admitted, now: Timestamp): Step {
    val key = request.sessionKey
    return when {
        request.command != null -> propose(request, now)
        quarantine.suspicions[request.fingerprint] != null && request.phase == Phase.Queued -> startTrial(request, now)
        key != null -> joinSession(request, key, admitted, now)
        else -> put(request)
    }
}

/** Gives the request the version of its session: from its token, from memory, or from the session's home VM. */
private fun RouterState.joinSession(
    request: ActiveRequest,
    key: SessionKey,
    admitted: Admitted,
    now: Timestamp,
): Step {
    val fits = admitted.versions.map { it.id }
    val known = admitted.token?.version?.takeIf { it in fits } ?: assignedOrNull(key)
    val home = sessionHome(key, now)
    return when {
        known != null && known in fits -> decide(key, known, now).then { it.put(request.pinnedTo(known)) }
        known != null -> put(request)
        home == settings.vm -> decide(key, request.version, now).then { it.put(request.pinnedTo(request.version)) }
        else -> put(request.copy(phase = Phase.AwaitingSession(now))).then {
            it.tell(home, PeerMessage.AskSession(key.workspace, key.session, request.version))
        }
    }
}

internal fun ActiveRequest.pinnedTo(version: VersionId): ActiveRequest =
    copy(version = version, pinned = true)
