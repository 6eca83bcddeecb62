package org.quetzalloom.core.backend

import org.quetzalloom.core.configuration.BackendServer
import org.quetzalloom.core.router.RouterState
import org.quetzalloom.core.time.Timestamp

/** Returns the most attempts that this VM may have under way at [server] now. */
internal fun RouterState.allowance(server: BackendServer, now: Timestamp): Int {
    val homes = backends.homes[server.id] ?: return 0
    val health = backends.healthOf(server.id)
    val limit = if (health.start == null || health.doubted) {
        server.coldCapacity
    } else {
        settings.policies.coldStartRamp.limit(server, now - health.startedAt)
    }
    return if (limit >= server.capacity) (server.capacity + homes - 1) / homes else limit / homes
}

/** Returns whether this VM may start one more attempt at [server] now. */
internal fun RouterState.hasRoom(server: BackendServer, now: Timestamp): Boolean {
    val health = backends.healthOf(server.id)
    val homes = backends.homes[server.id] ?: return false
    return now >= health.suspendedUntil &&
        health.running < allowance(server, now) &&
        health.unconfirmed < maxOf(1, server.coldCapacity / homes)
}
