package org.quetzalloom.core.backend

import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the maximum number of attempts that this VM may have in flight at [server] now: 0 if it may not send to it.
 *
 * The limit of the whole fleet is divided among the VMs that share the backend server: rounded up at full capacity, and
 * down during warm-up. A backend server whose start is unknown or unconfirmed counts as cold.
 */
internal fun RouterState.attemptLimit(server: BackendServer, now: Timestamp): Int {
    val vmCount = backends.subset[server.id] ?: return 0
    val health = backends.healthOf(server.id)
    val limit = if (health.start == null || health.mayHaveRestarted) {
        server.coldCapacity
    } else {
        settings.policies.coldStartRamp.limit(server, now - health.startedAt)
    }
    return if (limit >= server.capacity) (server.capacity + vmCount - 1) / vmCount else limit / vmCount
}

/**
 * Returns whether this VM may start one more attempt at [server] now. It may not while the backend server is suspended.
 *
 * Attempts that are not accepted yet are limited to this VM's share of the cold capacity, since the backend server may
 * have restarted unnoticed.
 */
internal fun RouterState.hasCapacity(server: BackendServer, now: Timestamp): Boolean {
    val health = backends.healthOf(server.id)
    val vmCount = backends.subset[server.id] ?: return false
    return now >= health.suspendedUntil &&
        health.running < attemptLimit(server, now) &&
        health.unaccepted < maxOf(1, server.coldCapacity / vmCount)
}
