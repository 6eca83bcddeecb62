package org.quetzalloom.core.relay.member

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * Who else routes.
 *
 * @property generation the generation of the group that was last heard; 0 before the first.
 * @property addresses the members, and where each receives beacons; empty before they were first read.
 * @property sortedMembers the members in the order of their names, which is the same at each of them.
 * @property listedGeneration the generation when they were read.
 * @property holdsDuty whether this router performs what only one of them may.
 * @property joinedAt when the group last confirmed this router.
 * @property joinDueAt when it joins again.
 * @property joining whether a call to join is under way.
 * @property listing whether a call to list the members is under way.
 */
internal data class MembersState(
    val generation: Long = 0,
    val addresses: PersistentMap<VmId, String> = persistentMapOf(),
    val sortedMembers: PersistentList<VmId> = persistentListOf(),
    val listedGeneration: Long = 0,
    val isLeader: Boolean = false,
    val joinedAt: Timestamp? = null,
    val joinDueAt: Timestamp = Timestamp.EPOCH,
    val joining: Boolean = false,
    val listing: Boolean = false,
    val listDueAt: Timestamp = Timestamp.EPOCH,
    val failures: Int = 0,
) {
    /** The routers that share fleet-wide limits: those known, or many where none are known yet. */
    val routerCount: Int get() = if (addresses.isEmpty()) ASSUMED_ROUTER_COUNT else addresses.size

    private companion object {
        /** Routers; the size designed for, so that a router that knows nothing takes nearly nothing. */
        const val ASSUMED_ROUTER_COUNT = 400
    }
}
