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
internal fun RouterState.requestLoad(server: BackendServer, now: Timestamp): Step =
    withHealth(server.id) { it.copy(loadRequestedAt = now) }.with(Effect.OfBackend.AskLoad(server.id, server.address))

/** Returns the health after a failure: no new work for a while, longer after each failure in a row. */
internal fun ServerHealth.afterFailure(now: Timestamp): ServerHealth {
    val backoff = (FIRST_BACKOFF_MILLISECONDS shl failures.coerceAtMost(MAX_BACKOFF_DOUBLINGS))
    return copy(failures = failures + 1, suspendedUntil = now + backoff, mayHaveRestarted = true)
}

/** Returns the health after the backend server refused work: a short pause, so that it is not asked in a loop. */
internal fun ServerHealth.afterRefusal(now: Timestamp): ServerHealth =
    copy(suspendedUntil = now + REFUSAL_BACKOFF_MILLISECONDS)

private const val REFUSAL_BACKOFF_MILLISECONDS = 100L
private const val FIRST_BACKOFF_MILLISECONDS = 250L
private const val MAX_BACKOFF_DOUBLINGS = 4
