package org.quetzalloom.core.relay.member

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.time.Timestamp

/**
 * What this router knows of the group of routers.
 *
 * @property generation the last known generation of the group; 0 before the first.
 * @property addresses the members, this router included, with the `host:port` at which each receives beacons; the
 *   address is empty if it is not known, and for this router. Empty before the members were first listed.
 * @property sortedMembers the members sorted by id, so that all routers agree on their order.
 * @property readerOrder the members in the order in which they are used as readers of the store. This router is among
 *   them once the group lists it, as only then the others can find it.
 * @property listedGeneration the generation of the group when the members were last listed.
 * @property isLeader whether the group last named this router the leader, which alone starts and completes roll-outs.
 * @property joinedAt when the call was sent with which the group last confirmed this router's membership, or `null`
 *   before the first confirmation.
 * @property pausedAt when a pause of this process was last detected, or `null` if that never happened.
 * @property calledAt when the last call to join or to list the members was sent.
 * @property joinDueAt the earliest time of the next call to join.
 * @property lastJoinAt when the group last confirmed this router's membership.
 * @property joining whether a call to join is under way.
 * @property listing whether a call to list the members is under way.
 * @property listsDirectly whether the members are to be listed by the store, as another router did not list them.
 * @property listDueAt the earliest time of the next call to list the members.
 * @property waiting the calls of other routers for the members that have not been answered.
 * @property failures the number of failed calls since the last successful join.
 */
internal data class MembersState(
    val generation: Long = 0,
    val addresses: PersistentMap<VmId, String> = persistentMapOf(),
    val sortedMembers: PersistentList<VmId> = persistentListOf(),
    val readerOrder: PersistentList<VmId> = persistentListOf(),
    val listedGeneration: Long = 0,
    val isLeader: Boolean = false,
    val joinedAt: Timestamp? = null,
    val pausedAt: Timestamp? = null,
    val calledAt: Timestamp = Timestamp.EPOCH,
    val joinDueAt: Timestamp = Timestamp.EPOCH,
    val lastJoinAt: Timestamp = Timestamp.EPOCH,
    val joining: Boolean = false,
    val listing: Boolean = false,
    val listsDirectly: Boolean = false,
    val listDueAt: Timestamp = Timestamp.EPOCH,
    val waiting: PersistentList<MembersCall> = persistentListOf(),
    val failures: Int = 0,
) {
    /** The number of routers that share fleet-wide limits. Before the members are known, a large number is assumed. */
    val routerCount: Int get() = if (addresses.isEmpty()) ASSUMED_ROUTER_COUNT else addresses.size

    /** Returns whether this router may act as the leader at [now]: its leadership has been confirmed recently. */
    fun isLeaderAt(now: Timestamp): Boolean =
        isLeader && joinedAt?.let { now - it <= LEADERSHIP_LEASE_MILLISECONDS } ?: false

    private companion object {
        /**
         * How long the leadership lasts without a confirmation; shorter than a member's time to live, after which
         * another router may be the leader.
         */
        const val LEADERSHIP_LEASE_MILLISECONDS = 2_000L

        /** The largest fleet designed for, so that a router that knows no other uses next to nothing of the limits. */
        const val ASSUMED_ROUTER_COUNT = 400
    }
}
