package org.quetzalloom.core.request

import org.quetzalloom.core.backend.requestLoad
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.quarantine.withCrash
import org.quetzalloom.core.quarantine.withTrial
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.sendToPeers
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Requests a load report to learn whether the backend server went down, before [request] is run anywhere else.
 *
 * Without a report within `crashCheckTimeoutMilliseconds`, the backend server counts as down.
 */
internal fun RouterState.checkForCrash(request: ActiveRequest, id: BackendServerId, now: Timestamp): Step {
    val awaiting = put(request.copy(phase = Phase.AwaitingCrashCheck(id, now)))
    val server = configuration.view.current?.backendServers?.get(id) ?: return awaiting
    return awaiting.then { it.requestLoad(server, now) }
}

/**
 * Resolves the crash checks of all requests whose connection to [server] broke.
 *
 * @param down whether [server] went down: it did not report, or reports a start of a moment ago. The requests then
 *   become suspects; otherwise they are retried.
 */
internal fun RouterState.resolveCrashChecks(server: BackendServerId, down: Boolean, now: Timestamp): Step {
    val pending = requests.waiting.sorted().mapNotNull { requests.active[it] }
        .filter { (it.phase as? Phase.AwaitingCrashCheck)?.server == server }
    return pending.fold(unchanged()) { transition, request ->
        transition.then { if (down) it.recordCrash(request, server, now) else it.retry(request, now) }
    }
}

/**
 * Records that [server] went down while it ran [request], and announces it to the peers.
 *
 * After the first crash, [request] is retried as a trial. The crash of a second backend server, under this request or
 * another one with the same content, quarantines the content, and [request] is refused.
 */
internal fun RouterState.recordCrash(request: ActiveRequest, server: BackendServerId, now: Timestamp): Step {
    val recorded = withCrash(request.fingerprint, server, now)
    val quarantined = recorded.quarantine.suspicions[request.fingerprint]?.quarantined == true
    val next = recorded.withTrial(
        request.fingerprint,
        vm = settings.vm.takeUnless { quarantined },
        trialServer = null,
        now = now,
    )
    val announced = next.sendToPeers(
        next.livePeers(now),
        PeerMessage.Suspect(request.fingerprint, server, trial = !quarantined),
    )
    return announced.then {
        if (quarantined) {
            it.refuse(request, ErrorKind.QUARANTINED, "the request took down two backend servers", now)
        } else {
            it.retry(request.copy(tokensAtSuspicion = request.deliveredTokens), now, Phase.AwaitingTrial)
        }
    }
}

/**
 * Moves [request] to [phase] for one more attempt and takes one retry from the budget.
 *
 * Refuses it if it has used all its attempts or the retry budget is spent.
 */
internal fun RouterState.retry(request: ActiveRequest, now: Timestamp, phase: Phase = Phase.Queued): Step = when {
    request.attemptCount >= settings.limits.triesPerRequest ->
        refuse(request, ErrorKind.BACKEND_FAILED, "${request.attemptCount} attempts failed", now)
    requests.retryBudget < 1 ->
        refuse(request, ErrorKind.BACKEND_FAILED, "an attempt failed and the retry budget is used up", now)
    else -> copy(requests = requests.addToRetryBudget(-1.0)).put(request.copy(phase = phase))
}
