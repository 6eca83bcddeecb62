package org.quetzalloom.core.relay.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * The exchange of beacons with the other routers.
 *
 * @property lastBeacons the last beacon received from each router.
 * @property sendDueAt when the next own beacon is due.
 * @property sequence the number of the last own beacon.
 */
internal data class PeersState(
    val lastBeacons: PersistentMap<VmId, ReceivedBeacon> = persistentMapOf(),
    val sendDueAt: Timestamp = Timestamp.EPOCH,
    val sequence: Long = 0,
) {
    /** Returns the work of other routers at [server], as far as beacons that are still fresh at [now] tell. */
    fun workAt(server: BackendServerId, now: Timestamp): Long =
        lastBeacons.values.sumOf { if (it.isFresh(now)) it.beacon.work[server] ?: 0 else 0 }
}

/** A beacon, and when this router received it. */
internal data class ReceivedBeacon(val beacon: PeerBeacon, val receivedAt: Timestamp) {
    /** Returns whether the beacon is recent enough to describe the load at [now]. */
    fun isFresh(now: Timestamp): Boolean = now - receivedAt <= VALIDITY_MILLISECONDS

    private companion object {
        /** Allows for a few lost beacons. Most prompts are read in less time. */
        const val VALIDITY_MILLISECONDS = 500L
    }
}
