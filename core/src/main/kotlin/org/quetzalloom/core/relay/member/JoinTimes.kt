package org.quetzalloom.core.relay.member

import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.access.isActingReader
import org.quetzalloom.core.time.Timestamp

/** The time between two renewals of the leader, of routers that read for others, and of one that starts. */
internal const val LEAST_JOIN_INTERVAL_MILLISECONDS: Long = 1_000

/** The time between two renewals of another router, to which that for each member is added. */
private const val JOIN_INTERVAL_MILLISECONDS = 3_000L

/** Added to the time between two renewals for each member, so that their calls hardly grow with the fleet. */
private const val JOIN_MILLISECONDS_PER_MEMBER = 100L

/** The longest time between two renewals, after three of which a router that is gone no longer counts. */
private const val MAXIMUM_JOIN_INTERVAL_MILLISECONDS = 20_000L

/** Returns when to join the group; sooner than was planned if the interval has become shorter since the last time. */
internal fun RelayState.nextJoinAt(now: Timestamp): Timestamp = if (members.failures > 0) {
    members.joinDueAt
} else {
    minOf(members.joinDueAt, members.lastJoinAt + joinInterval(now))
}

/** Returns the time between two renewals of the membership, in milliseconds. */
internal fun RelayState.joinInterval(now: Timestamp): Long =
    if (members.isLeader || members.sortedMembers.isEmpty() || isActingReader(now)) {
        LEAST_JOIN_INTERVAL_MILLISECONDS
    } else {
        (JOIN_INTERVAL_MILLISECONDS + members.sortedMembers.size * JOIN_MILLISECONDS_PER_MEMBER)
            .coerceAtMost(MAXIMUM_JOIN_INTERVAL_MILLISECONDS)
    }
