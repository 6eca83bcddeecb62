package org.quetzalloom.core.backend

import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/** Returns the state with the health of [server] changed. */
internal fun RouterState.withHealth(server: BackendServerId, change: (ServerHealth) -> ServerHealth): RouterState =
    copy(backends = backends.withHealth(server, change))

/** Returns the transition that asks [server] for a load report. */
internal fun RouterState.askLoad(server: BackendServer, now: Timestamp): Step =
    withHealth(server.id) { it.copy(askedAt = now) }.with(Effect.OfBackend.RequestLoadReport(server.id, server.address))

/** Returns the health after a failure: no new work for a while, longer after each failure in a row. */
internal fun ServerHealth.failed(now: Timestamp): ServerHealth {
    val pause = (FIRST_PAUSE_MILLISECONDS shl failures.coerceAtMost(LONGEST_PAUSE_DOUBLINGS))
    return copy(failures = failures + 1, suspendedUntil = now + pause, doubted = true)
}

/** Returns the health after the backend server refused work: a short pause, so that it is not asked in a loop. */
internal fun ServerHealth.refusedWork(now: Timestamp): ServerHealth =
    copy(suspendedUntil = now + REFUSAL_PAUSE_MILLISECONDS)

private const val REFUSAL_PAUSE_MILLISECONDS = 100L
private const val FIRST_PAUSE_MILLISECONDS = 250L
private const val LONGEST_PAUSE_DOUBLINGS = 4
