package org.quetzalloom.core.request

import org.quetzalloom.core.backend.askLoad
import org.quetzalloom.core.error.ErrorKind
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.quarantine.suspected
import org.quetzalloom.core.quarantine.withTrial
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.sendToPeers
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/** Asks whether the backend server went down, before the request is run anywhere else. */
internal fun RouterState.askVerdict(request: ActiveRequest, id: BackendServerId, now: Timestamp): Step {
    val asked = put(request.copy(phase = Phase.AwaitingVerdict(id, now)))
    val server = configuration.view.current?.backendServers?.get(id) ?: return asked
    return asked.then { it.askLoad(server, now) }
}

/** Decides, once [server] was reached again or not, whether the requests that broke off there brought it down. */
internal fun RouterState.verdict(server: BackendServerId, down: Boolean, now: Timestamp): Step {
    val affected = requests.waiting.sorted().mapNotNull { requests.active[it] }
        .filter { (it.phase as? Phase.AwaitingVerdict)?.server == server }
    return affected.fold(unchanged()) { reached, request ->
        reached.then { if (down) it.crashed(request, server, now) else it.retry(request, now) }
    }
}

/** Holds it against [request] that [server] went down while it ran there. */
internal fun RouterState.crashed(request: ActiveRequest, server: BackendServerId, now: Timestamp): Step {
    val known = suspected(request.fingerprint, server, now)
    val condemned = known.quarantine.suspicions[request.fingerprint]?.condemned == true
    val next = known.withTrial(request.fingerprint, by = settings.vm.takeUnless { condemned }, at = null, now = now)
    val told = next.sendToPeers(
        next.livePeers(now),
        PeerMessage.Suspect(request.fingerprint, server, trial = !condemned),
    )
    return told.then {
        if (condemned) {
            it.refuse(request, ErrorKind.QUARANTINED, "the request took down two backend servers", now)
        } else {
            it.retry(request.copy(trialFrom = request.delivered), now, Phase.AwaitingTrial)
        }
    }
}

internal fun RouterState.retry(request: ActiveRequest, now: Timestamp, phase: Phase = Phase.Queued): Step = when {
    request.tries >= settings.limits.triesPerRequest ->
        refuse(request, ErrorKind.BACKEND_FAILED, "${request.tries} attempts failed", now)
    requests.retryBudget < 1 ->
        refuse(request, ErrorKind.BACKEND_FAILED, "an attempt failed and too many retries are under way", now)
    else -> copy(requests = requests.withBudget(-1.0)).put(request.copy(phase = phase))
}
