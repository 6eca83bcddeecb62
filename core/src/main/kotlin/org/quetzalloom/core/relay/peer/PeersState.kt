package org.quetzalloom.core.relay.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * What the other routers have told.
 *
 * @property lastBeacons the last beacon of each, and when it came.
 * @property sendDueAt when the next beacon is due.
 * @property sequence the number of the last own beacon.
 */
internal data class PeersState(
    val lastBeacons: PersistentMap<VmId, ReceivedBeacon> = persistentMapOf(),
    val sendDueAt: Timestamp = Timestamp.EPOCH,
    val sequence: Long = 0,
) {
    /** Returns the work that other routers have at [server], as far as they have told of late. */
    fun workAt(server: BackendServerId, now: Timestamp): Long =
        lastBeacons.values.sumOf { if (it.isFresh(now)) it.beacon.work[server] ?: 0 else 0 }
}

/** A beacon, and when it came. */
internal data class ReceivedBeacon(val beacon: PeerBeacon, val receivedAt: Timestamp) {
    /** Returns whether it still says something of the load at [now]. */
    fun isFresh(now: Timestamp): Boolean = now - receivedAt <= VALIDITY_MILLISECONDS

    private companion object {
        /** A few beacons may be lost; most prompts are read in less. */
        const val VALIDITY_MILLISECONDS = 500L
    }
}
