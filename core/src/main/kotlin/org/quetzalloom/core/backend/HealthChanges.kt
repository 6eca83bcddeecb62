package org.quetzalloom.core.backend

import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.effect.Effect
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.router.Step
import org.quetzalloom.core.router.with
import org.quetzalloom.core.time.Timestamp

/** Returns the state with [change] applied to the health of [server]. */
internal fun RouterState.withHealth(server: BackendServerId, change: (ServerHealth) -> ServerHealth): RouterState =
    copy(backends = backends.withHealth(server, change))

/** Returns the transition that requests a load report from [server]. */
internal fun RouterState.requestLoad(server: BackendServer, now: Timestamp): Step =
    withHealth(
        server.id
    ) { it.copy(loadRequestedAt = now) }.with(Effect.OfBackend.RequestLoadReport(server.id, server.address))

/**
 * Returns the health after a failure: the backend server is suspended with exponential backoff.
 *
 * The backoff doubles with each failure in a row, up to [MAX_BACKOFF_DOUBLINGS] times. As the failure may have been a
 * crash, the backend server counts as cold until its start is confirmed.
 */
internal fun ServerHealth.afterFailure(now: Timestamp): ServerHealth {
    val backoff = (FIRST_BACKOFF_MILLISECONDS shl consecutiveFailures.coerceAtMost(MAX_BACKOFF_DOUBLINGS))
    return copy(consecutiveFailures = consecutiveFailures + 1, suspendedUntil = now + backoff, mayHaveRestarted = true)
}

/** Returns the health after a refusal: briefly suspended, so that the backend server is not asked in a tight loop. */
internal fun ServerHealth.afterRefusal(now: Timestamp): ServerHealth =
    copy(suspendedUntil = now + REFUSAL_BACKOFF_MILLISECONDS)

private const val REFUSAL_BACKOFF_MILLISECONDS = 100L
private const val FIRST_BACKOFF_MILLISECONDS = 250L
private const val MAX_BACKOFF_DOUBLINGS = 4
