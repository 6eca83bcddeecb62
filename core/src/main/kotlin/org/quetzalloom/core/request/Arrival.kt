package org.quetzalloom.core.request

import com.github.michaelbull.result.fold
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.error.RouterError
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.VersionId
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.quarantine.isOnTrialElsewhere
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.sendToPeer
import org.quetzalloom.core.router.with
import org.quetzalloom.core.session.SessionKey
import org.quetzalloom.core.session.assignVersion
import org.quetzalloom.core.session.assignedVersionOrNull
import org.quetzalloom.core.session.sessionHome
import org.quetzalloom.core.time.Timestamp

/** Admits a new request and starts to process it, or refuses it. */
internal fun RouterState.onArrived(event: Event.OfCaller.Arrived, now: Timestamp): Step =
    admit(event.call, now).fold(
        success = { acceptArrival(event, it, now) },
        failure = { refuseArrival(event, it, now) },
    )

/** Refuses a request that admission rejected; it never becomes an active request. */
private fun RouterState.refuseArrival(event: Event.OfCaller.Arrived, error: RouterError, now: Timestamp): Step =
    with(Effect.OfCaller.Refuse(event.request, error)).then {
        it.report(
            now,
            "request_refused",
            "request" to event.request,
            "error" to error.kind.code,
            "workspace" to event.call.workspace,
            "key" to event.call.key,
            "session" to event.call.session,
        )
    }

/** Creates the active request, adds its share to the retry budget and moves it to its first phase. */
private fun RouterState.acceptArrival(event: Event.OfCaller.Arrived, admitted: Admitted, now: Timestamp): Step {
    val fingerprint = Fingerprint.of(event.call)
    val subject = event.call.session?.let { SessionKey(event.call.workspace, it).toString() } ?: event.request.value
    val request = ActiveRequest(
        id = event.request,
        call = event.call,
        fingerprint = fingerprint,
        arrivedAt = now,
        phase = if (isOnTrialElsewhere(fingerprint, now)) Phase.AwaitingTrial else Phase.Queued,
        version = chooseVersion(event.call, admitted.versions, subject),
        command = admitted.command,
    )
    return copy(requests = requests.addToRetryBudget(settings.limits.retryBudgetRatio))
        .report(
            now,
            "request_arrived",
            "request" to request.id,
            "workspace" to event.call.workspace,
            "session" to event.call.session,
            "key" to event.call.key,
        )
        .then { it.enterFirstPhase(request, admitted, now) }
}

/**
 * Moves a new request to its first phase: a command waits for its intent, a suspected request for its trial, and a
 * request of a session for the version of the session. All others are queued.
 *
 * A suspected request of a session does not ask for the version of the session; it is tried on the version chosen for
 * it. A request whose content is on trial at another VM waits for that trial, unless it must ask the home VM for the
 * version of its session: it is then queued as soon as that is known.
 */
private fun RouterState.enterFirstPhase(request: ActiveRequest, admitted: Admitted, now: Timestamp): Step {
    val key = request.sessionKey
    return when {
        request.command != null -> proposeIntent(request, now)
        quarantine.suspicions[request.fingerprint] != null && request.phase == Phase.Queued ->
            startTrialOrWait(request, now)
        key != null -> resolveSessionVersion(request, key, admitted, now)
        else -> put(request)
    }
}

/**
 * Finds the version of the session of [request].
 *
 * The version comes from the session token, else from the assignment known here, as long as it may be used. If there
 * is none, the home VM of the session decides: this VM at once if it is the home, else the request waits for the answer
 * of the home VM. If the assigned version is not one that the request may run on, the request runs on the version
 * chosen for it, and the session keeps its own.
 */
private fun RouterState.resolveSessionVersion(
    request: ActiveRequest,
    key: SessionKey,
    admitted: Admitted,
    now: Timestamp,
): Step {
    val usableIds = admitted.versions.map { it.id }
    val assigned = admitted.token?.version?.takeIf { it in usableIds } ?: assignedVersionOrNull(key)
    val home = sessionHome(key, now)
    return when {
        assigned != null && assigned in usableIds ->
            assignVersion(key, assigned, now).then { it.put(request.pinnedTo(assigned)) }
        assigned != null -> put(request)
        home == settings.vm ->
            assignVersion(key, request.version, now).then { it.put(request.pinnedTo(request.version)) }
        else -> put(request.copy(phase = Phase.AwaitingSession(now))).then {
            it.sendToPeer(home, PeerMessage.AskSession(key.workspace, key.session, request.version))
        }
    }
}

/** Returns the request bound to [version], the version of its session. */
internal fun ActiveRequest.pinnedTo(version: VersionId): ActiveRequest =
    copy(version = version, pinned = true)
