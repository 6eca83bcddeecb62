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

/** Watches backend servers: starts, load and failures, and which of them this VM may send to. */
internal object BackendsPart : Part {
    override fun reduce(state: RouterState, event: Event, now: Timestamp): Step =
        state.withHomes().handle(event, now)

    private fun RouterState.handle(event: Event, now: Timestamp): Step = when (event) {
        is Event.Tick -> askLoad(now)
        is Event.OfBackend.Accepted -> accepted(event, now)
        is Event.OfBackend.LoadReported -> reported(event, now)
        is Event.OfBackend.LoadReportFailed -> withHealth(event.server) { it.failed(now) }.unchanged()
        is Event.FromPeer -> (event.message as? PeerMessage.Restarted)?.let { restarted(it, now) } ?: unchanged()
        else -> unchanged()
    }

    private fun RouterState.withHomes(): RouterState {
        val current = configuration.view.current
        if (current == null || current.revision == backends.revision) return this
        return copy(
            backends = backends.copy(revision = current.revision, homes = Homes.of(current, settings)),
        )
    }

    private fun RouterState.askLoad(now: Timestamp): Step {
        val servers = configuration.view.current?.backendServers ?: return unchanged()
        val due = backends.homes.keys.mapNotNull { servers[it] }.filter { isDue(it, now) }.sortedBy { it.id }
        return due.fold(unchanged()) { reached, server -> reached.then { it.askLoad(server, now) } }
    }

    private fun RouterState.isDue(server: BackendServer, now: Timestamp): Boolean {
        val askedAt = backends.healthOf(server.id).askedAt
        return askedAt == null || now - askedAt >= settings.limits.loadIntervalMilliseconds
    }

    private fun RouterState.accepted(event: Event.OfBackend.Accepted, now: Timestamp): Step {
        val running = requests.byAttemptOrNull(event.attempt)?.phase as? Phase.Running ?: return unchanged()
        return sawStart(running.server, event.start, startedAt = now, now = now)
            .then {
                it.withHealth(
                    running.server
                ) { health ->
                    health.copy(
                        doubted = health.doubted && health.start != event.start,
                        failures = 0
                    )
                }.unchanged()
            }
    }

    private fun RouterState.reported(event: Event.OfBackend.LoadReported, now: Timestamp): Step {
        val updated = withHealth(event.server) { it.copy(reportedRunning = event.running) }
        return updated.sawStart(event.server, event.start, startedAt = now + -event.upForMilliseconds, now = now)
    }

    private fun RouterState.sawStart(
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
            else -> newStart(server, start, startedAt, now)
        }
    }

    private fun RouterState.newStart(
        server: BackendServerId,
        start: StartIdentity,
        startedAt: Timestamp,
        now: Timestamp,
    ): Step {
        val known = backends.healthOf(server).start != null
        val next = withHealth(server) { it.started(start, startedAt) }
        val told = if (known) {
            next.sendToPeers(
                next.livePeers(now),
                PeerMessage.Restarted(server, start)
            )
        } else {
            next.unchanged()
        }
        return told.then { it.report(now, "backend_server_started", "server" to server, "start" to start) }
    }

    private fun RouterState.restarted(message: PeerMessage.Restarted, now: Timestamp): Step {
        if (message.server !in backends.homes) return unchanged()
        return sawStart(message.server, message.start, startedAt = now, now = now)
    }
}
