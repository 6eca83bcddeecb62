package org.quetzalloom.core.relay.server

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.AvailabilityZoneId
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.relay.exchange.Attempt
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.time.Timestamp

/**
 * The backend servers that this router knows.
 *
 * @property views what is known of each server, listed or about to be dropped.
 * @property departed what is remembered of servers that were dropped lately.
 * @property evacuatedZones the availability zones whose servers get no requests, and when each was evacuated.
 * @property listFailedAt when the list last could not be read, or `null` if that never happened.
 * @property listReadAt when the list was last read, or `null` before the first time.
 * @property dropDueAt when to look next for servers that can be dropped.
 * @property prefillPaces how fast the servers of each service read prompts.
 */
internal data class ServersState(
    val views: PersistentMap<BackendServerId, ServerView> = persistentMapOf(),
    val departed: PersistentMap<BackendServerId, DepartedServer> = persistentMapOf(),
    val evacuatedZones: PersistentMap<AvailabilityZoneId, Timestamp> = persistentMapOf(),
    val listFailedAt: Timestamp? = null,
    val listReadAt: Timestamp? = null,
    val dropDueAt: Timestamp = Timestamp.EPOCH,
    val prefillPaces: PersistentMap<ServiceName, PrefillPace> = persistentMapOf(),
) {
    /** Returns the servers of [service] that are listed, want requests, and are neither suspended nor evacuated. */
    fun usable(service: ServiceName, now: Timestamp): List<ServerView> =
        views.values.filter { it.listing.service == service && it.isUsable(now) }

    /** Returns the state with [change] applied to the view of [id]; the same state if [id] is unknown. */
    fun update(id: BackendServerId, change: (ServerView) -> ServerView): ServersState {
        val view = views[id] ?: return this
        return copy(views = views.put(id, change(view)))
    }

    /**
     * Returns the state after the response of [attempt] at [service] has begun at [now]: updates the pace of the
     * service and, against the pace before, the slowness of the server. Both leave out what the server's work usually
     * takes longer than elsewhere.
     */
    fun recordResponseStart(attempt: Attempt, service: ServiceName, now: Timestamp): ServersState {
        val duration = views[attempt.server]?.workDuration?.factor ?: 1.0
        val elapsed = ((now - attempt.sentAt) / duration).toLong()
        val pace = prefillPaces[service] ?: PrefillPace()
        val usual = pace.estimateOrNull(attempt.workUntilResponse)
        val withPace = copy(prefillPaces = prefillPaces.put(service, pace.record(attempt.workUntilResponse, elapsed)))
        return if (usual == null || attempt.workUntilResponse == 0L) {
            withPace
        } else {
            withPace.update(attempt.server) { it.copy(slowness = it.slowness.record(elapsed, usual, now)) }
        }
    }

    /** Returns whether the server [id] is listed, wants requests and is not evacuated. It may be suspended. */
    fun mayReceive(id: BackendServerId, now: Timestamp): Boolean = views[id]?.mayReceive(now) ?: false

    private fun ServerView.isUsable(now: Timestamp): Boolean = mayReceive(now) && now >= suspendedUntil

    private fun ServerView.mayReceive(now: Timestamp): Boolean =
        wantsRequests(now) && dropAt == null && listing.zone !in evacuatedZones

    private fun ServerView.wantsRequests(now: Timestamp): Boolean =
        !isLeaving && now >= closedUntil
}
