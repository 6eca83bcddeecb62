package org.quetzalloom.core.relay.peer

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.quetzalloom.core.identity.BackendServerId
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * The exchange of beacons with the other routers.
 *
 * @property lastBeacons the last beacon of each router that was heard recently.
 * @property workByServer the work at each backend server, summed over the beacons that are fresh.
 * @property sendDueAt when the next own beacon is due.
 * @property sequence the number of the last own beacon.
 */
internal data class PeersState(
    val lastBeacons: PersistentMap<VmId, ReceivedBeacon> = persistentHashMapOf(),
    val workByServer: PersistentMap<BackendServerId, Long> = persistentHashMapOf(),
    val sendDueAt: Timestamp = Timestamp.EPOCH,
    val sequence: Long = 0,
) {
    /** Returns the work of other routers at [server], as far as beacons that are still fresh tell. */
    fun workAt(server: BackendServerId): Long = workByServer[server] ?: 0

    /** Returns the state in which [beacon], received at [now], is the last one of its sender. */
    fun received(beacon: PeerBeacon, now: Timestamp): PeersState = copy(
        lastBeacons = lastBeacons.put(beacon.vm, ReceivedBeacon(beacon, now)),
        workByServer = workByServer.without(lastBeacons[beacon.vm]).add(beacon, sign = 1),
    )

    /** Returns the state at [now], without the work of beacons that are no longer fresh. */
    fun expire(now: Timestamp): PeersState = lastBeacons.values.filterNot { it.isFresh(now) }.fold(this) { peers, old ->
        val vm = old.beacon.vm
        peers.copy(
            lastBeacons = if (old.isForgotten(now)) {
                peers.lastBeacons.remove(vm)
            } else {
                peers.lastBeacons.put(vm, old.copy(counted = false))
            },
            workByServer = peers.workByServer.without(old),
        )
    }

    private fun PersistentMap<BackendServerId, Long>.without(
        received: ReceivedBeacon?,
    ): PersistentMap<BackendServerId, Long> = if (received?.counted == true) add(received.beacon, sign = -1) else this

    private fun PersistentMap<BackendServerId, Long>.add(
        beacon: PeerBeacon,
        sign: Int,
    ): PersistentMap<BackendServerId, Long> = beacon.work.entries.fold(this) { sums, (server, work) ->
        val sum = (sums[server] ?: 0) + sign * work
        if (sum == 0L) sums.remove(server) else sums.put(server, sum)
    }
}

/**
 * A beacon, and when this router received it.
 *
 * @property counted whether its work is in the sums.
 */
internal data class ReceivedBeacon(val beacon: PeerBeacon, val receivedAt: Timestamp, val counted: Boolean = true) {
    /** When the sender last read a feed from the store, or `null` if it does not tell. */
    val storeReadAt: Timestamp? get() = beacon.storeReadMillisecondsAgo?.let { receivedAt + -it }

    /** Returns whether the beacon is recent enough to describe the load at [now]. */
    fun isFresh(now: Timestamp): Boolean = now - receivedAt <= VALIDITY_MILLISECONDS

    /** Returns whether the sender has been silent for so long that it is taken to be gone. */
    fun isForgotten(now: Timestamp): Boolean = now - receivedAt >= MEMORY_MILLISECONDS

    private companion object {
        /** Allows for a few lost beacons. Most prompts are read in less time. */
        const val VALIDITY_MILLISECONDS = 500L

        /** The time to live of a member of the group, so that a router that is restarted or paused is waited for. */
        const val MEMORY_MILLISECONDS = 3_000L
    }
}
