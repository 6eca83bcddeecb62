package org.quetzalloom.core.backend

import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.time.Timestamp

/** Returns the most attempts that this VM may have under way at [server] now. */
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

/** Returns whether this VM may start one more attempt at [server] now. */
internal fun RouterState.hasCapacity(server: BackendServer, now: Timestamp): Boolean {
    val health = backends.healthOf(server.id)
    val vmCount = backends.subset[server.id] ?: return false
    return now >= health.suspendedUntil &&
        health.running < attemptLimit(server, now) &&
        health.unaccepted < maxOf(1, server.coldCapacity / vmCount)
}
