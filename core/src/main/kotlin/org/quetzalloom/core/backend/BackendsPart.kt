package org.quetzalloom.core.backend

import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.event.Event
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.StartIdentity
import org.quetzalloom.core.membership.livePeers
import org.quetzalloom.core.peer.PeerMessage
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.request.Phase
import org.quetzalloom.core.router.Part
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.report
import org.quetzalloom.core.router.sendToPeers
import org.quetzalloom.core.router.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Tracks the backend servers: their restarts, load and failures, and the subset that this VM may send to.
 *
 * Load reports serve as health checks: one that is missing counts as a failure.
 */
internal object BackendsPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step =
        state.withCurrentSubset().handle(event, now)

    private fun RouterState.handle(event: Event, now: Timestamp): Step = when (event) {
        is Event.Tick -> requestDueLoads(now)
        is Event.OfBackend.Accepted -> onAccepted(event, now)
        is Event.OfBackend.LoadReported -> onLoadReported(event, now)
        is Event.OfBackend.LoadReportFailed -> withHealth(event.server) { it.afterFailure(now) }.unchanged()
        is Event.FromPeer -> (event.message as? PeerMessage.Restarted)?.let { onPeerSawRestart(it, now) } ?: unchanged()
        else -> unchanged()
    }

    /** Returns the state with the subset recomputed if the configuration has changed. */
    private fun RouterState.withCurrentSubset(): RouterState {
        val current = configuration.view.current
        if (current == null || current.revision == backends.revision) return this
        return copy(
            backends = backends.copy(revision = current.revision, subset = DeterministicSubset.of(current, settings)),
        )
    }

    /** Requests a load report from each backend server of the subset whose last one was requested long enough ago. */
    private fun RouterState.requestDueLoads(now: Timestamp): Step {
        val servers = configuration.view.current?.backendServers ?: return unchanged()
        val due = backends.subset.keys.mapNotNull { servers[it] }.filter { isLoadReportDue(it, now) }.sortedBy { it.id }
        return due.fold(unchanged()) { transition, server -> transition.then { it.requestLoad(server, now) } }
    }

    private fun RouterState.isLoadReportDue(server: BackendServer, now: Timestamp): Boolean {
        val loadRequestedAt = backends.healthOf(server.id).loadRequestedAt
        return loadRequestedAt == null || now - loadRequestedAt >= settings.limits.loadIntervalMilliseconds
    }

    /** Resets the failures of a backend server that has begun to answer, and records the start that it names. */
    private fun RouterState.onAccepted(event: Event.OfBackend.Accepted, now: Timestamp): Step {
        val running = requests.byAttemptOrNull(event.attempt)?.phase as? Phase.Running ?: return unchanged()
        return observeStart(running.server, event.start, startedAt = now, now = now)
            .then {
                it.withHealth(
                    running.server
                ) { health ->
                    health.copy(
                        mayHaveRestarted = health.mayHaveRestarted && health.start != event.start,
                        consecutiveFailures = 0
                    )
                }.unchanged()
            }
    }

    private fun RouterState.onLoadReported(event: Event.OfBackend.LoadReported, now: Timestamp): Step {
        val updated = withHealth(event.server) { it.copy(reportedRunning = event.running) }
        return updated.observeStart(event.server, event.start, startedAt = now + -event.uptimeMilliseconds, now = now)
    }

    /**
     * Records that [server] was seen running since [start].
     *
     * A late message about an earlier start is ignored. Of several times seen for the same start, the earliest is kept.
     */
    private fun RouterState.observeStart(
        server: BackendServerId,
        start: StartIdentity,
        startedAt: Timestamp,
        now: Timestamp,
    ): Step {
        val health = backends.healthOf(server)
        return when {
            start in health.pastStarts -> unchanged()
            start == health.start -> withHealth(server) {
                it.copy(startedAt = minOf(it.startedAt, startedAt))
            }.unchanged()
            else -> recordNewStart(server, start, startedAt, now)
        }
    }

    /** Resets [server] to cold, and announces the restart to the peers unless this is the first start seen. */
    private fun RouterState.recordNewStart(
        server: BackendServerId,
        start: StartIdentity,
        startedAt: Timestamp,
        now: Timestamp,
    ): Step {
        val wasKnown = backends.healthOf(server).start != null
        val next = withHealth(server) { it.withStart(start, startedAt) }
        val announced = if (wasKnown) {
            next.sendToPeers(
                next.livePeers(now),
                PeerMessage.Restarted(server, start)
            )
        } else {
            next.unchanged()
        }
        return announced.then { it.report(now, "backend_server_started", "server" to server, "start" to start) }
    }

    /** Records a restart that a peer has seen, if this VM may send to the backend server. */
    private fun RouterState.onPeerSawRestart(message: PeerMessage.Restarted, now: Timestamp): Step {
        if (message.server !in backends.subset) return unchanged()
        return observeStart(message.server, message.start, startedAt = now, now = now)
    }
}
