package org.quetzalloom.core.relay.member

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.access.isStoreCheckDue
import org.quetzalloom.core.relay.access.readerOrNull
import org.quetzalloom.core.relay.access.readerOrder
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Keeps this router a member of the group of routers, and tracks the other members and the leadership. A router that
 * was asked to stop no longer renews its membership.
 */
internal object MembersPart : RelayPart {
    /** A member lives for as many intervals, so that two renewals may fail. */
    private const val TIME_TO_LIVE_INTERVALS = 3

    /** The shortest pause before the next call after a failed one, and that between two listings of the members. */
    private const val PAUSE_MILLISECONDS = 500L

    /** The time between two renewals divided by the pause after a failed one. A member lives for several such times. */
    private const val RETRIES_PER_INTERVAL = 4

    /** The pause after a failed call doubles with each further one as often, up to the time between two renewals. */
    private const val MAXIMUM_DOUBLINGS = 6

    /** Added to the pause between two listings for each member, so that their calls do not grow with the fleet. */
    private const val LIST_PAUSE_MILLISECONDS_PER_MEMBER = 20L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        RelayEvent.Tick -> state.joinIfDue(now).then { it.listIfDue(now) }
            .then { it.endLeadershipIfUnconfirmed(now) }
            .then { it.answerMembersCalls(now) }
        is RelayEvent.GroupJoined -> state.groupJoined(event, now)
        is RelayEvent.GroupFailed -> state.groupFailed(event, now)
        is RelayEvent.MembersListed -> state.membersListed(event, now).then { it.answerMembersCalls(now) }
        is RelayEvent.FeedRead -> state.generationHeard(event.generation)
        is RelayEvent.MembersAsked -> state.generationHeard(event.generation).then { it.membersAsked(event, now) }
        is RelayEvent.PauseDetected -> state.endLeadershipAfterPause(event, now)
        else -> state.unchanged()
    }

    private fun RelayState.joinIfDue(now: Timestamp): RelayStep {
        val checksStore = isStoreCheckDue(now)
        val isDue = checksStore || now >= nextJoinAt(now)
        if (members.joining || stop.requestedAt != null || !isDue) return unchanged()
        val timeToLive = joinInterval(now) * TIME_TO_LIVE_INTERVALS
        val store = if (checksStore) feeds.store.copy(checkedAt = now) else feeds.store
        return copy(members = members.copy(joining = true, calledAt = now), feeds = feeds.copy(store = store))
            .with(RelayEffect.JoinGroup(members.generation, sentAt = now, timeToLiveMilliseconds = timeToLive))
    }

    /** Renews the membership at once after a change of the group, which may give this router other partitions. */
    private fun RelayState.generationHeard(generation: Long): RelayStep {
        if (generation <= members.generation || members.failures > 0) return unchanged()
        val due = minOf(members.joinDueAt, members.lastJoinAt + LEAST_JOIN_INTERVAL_MILLISECONDS)
        return copy(members = members.copy(joinDueAt = due)).unchanged()
    }

    private fun RelayState.listIfDue(now: Timestamp): RelayStep {
        val stale = members.generation != members.listedGeneration
        if (!stale || members.listing || now < members.listDueAt) return unchanged()
        val reader = readerOrNull(now)?.takeUnless { members.listsDirectly }
        return copy(members = members.copy(listing = true, calledAt = now))
            .with(RelayEffect.ListMembers(members.generation, reader?.let { members.addresses[it] }))
    }

    private fun RelayState.groupJoined(event: RelayEvent.GroupJoined, now: Timestamp): RelayStep {
        val sentBeforePause = members.pausedAt?.let { event.sentAt <= it } ?: false
        val next = copy(
            members = members.copy(
                generation = event.generation,
                isLeader = event.isLeader && !sentBeforePause,
                joinedAt = event.sentAt,
                joinDueAt = now + joinInterval(now),
                lastJoinAt = now,
                joining = false,
                failures = 0,
            ),
        )
        val changed = next.members.isLeader != members.isLeader || members.joinedAt == null
        return if (changed) next.reportJoined(event, now) else next.unchanged()
    }

    private fun RelayState.reportJoined(event: RelayEvent.GroupJoined, now: Timestamp): RelayStep =
        report(now, "group_joined", "generation" to event.generation, "duty" to members.isLeader)

    private fun RelayState.groupFailed(event: RelayEvent.GroupFailed, now: Timestamp): RelayStep {
        if (event.throughReader) {
            val retry = members.copy(listing = false, listsDirectly = true, listDueAt = now + PAUSE_MILLISECONDS)
            return copy(members = retry).unchanged()
        }
        val interval = joinInterval(now)
        val firstPause = (interval / RETRIES_PER_INTERVAL).coerceAtLeast(PAUSE_MILLISECONDS)
        val pause = (firstPause shl members.failures.coerceAtMost(MAXIMUM_DOUBLINGS)).coerceAtMost(interval)
        val next = copy(
            members = members.copy(
                joining = false,
                listing = false,
                joinDueAt = now + pause,
                listDueAt = now + pause,
                failures = members.failures + 1,
            ),
        )
        return if (members.failures == 0) next.report(now, "group_lost", "detail" to event.detail) else next.unchanged()
    }

    private fun RelayState.membersListed(event: RelayEvent.MembersListed, now: Timestamp): RelayStep {
        val addresses = event.memberAddresses.toPersistentMap().put(settings.vm, "")
        val next = members.copy(
            addresses = addresses,
            sortedMembers = addresses.keys.sorted().toPersistentList(),
            readerOrder = readerOrder(event.memberAddresses.keys),
            listedGeneration = event.generation,
            listing = false,
            listsDirectly = false,
            listDueAt = now + maxOf(PAUSE_MILLISECONDS, addresses.size * LIST_PAUSE_MILLISECONDS_PER_MEMBER),
        )
        val updated = copy(members = next)
        return if (next.addresses == members.addresses) updated.unchanged() else updated.reportMembers(now)
    }

    private fun RelayState.reportMembers(now: Timestamp): RelayStep = report(
        now,
        "members_changed",
        "generation" to members.listedGeneration,
        "members" to members.addresses.size,
    )
}
