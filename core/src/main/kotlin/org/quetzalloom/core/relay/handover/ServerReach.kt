package org.quetzalloom.core.relay.handover

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.time.Timestamp

/**
 * Whether this router reaches the backend servers of one service.
 *
 * @property unreached the servers that lately did not react to this router, and when; empty after a reaction of any.
 * @property cutOffAt when the router concluded that it reaches none of them, or `null` while it reaches some.
 * @property probeAt the earliest time of the next probe while it reaches none.
 * @property probes the number of probes since then.
 * @property probing whether a probe is under way.
 */
internal data class ServerReach(
    val unreached: PersistentMap<BackendServerId, Timestamp> = persistentMapOf(),
    val cutOffAt: Timestamp? = null,
    val probeAt: Timestamp = Timestamp.EPOCH,
    val probes: Int = 0,
    val probing: Boolean = false,
) {
    /** Returns the state after [server] did not react until [now]. */
    fun withoutReaction(server: BackendServerId, now: Timestamp): ServerReach = copy(
        unreached = unreached.filterValues { now - it <= MEMORY_MILLISECONDS }.toPersistentMap().put(server, now),
    )

    private companion object {
        /** Failures that are further apart say little about a common cause. */
        const val MEMORY_MILLISECONDS = 3_000L
    }
}
