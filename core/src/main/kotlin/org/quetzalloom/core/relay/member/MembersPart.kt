package org.quetzalloom.core.relay.member

import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Keeps this router a member of the group of routers, and tracks the other members and the leadership. A router that
 * was asked to stop no longer renews its membership.
 */
internal object MembersPart : RelayPart {
    /** The time between two heartbeats, which join the group again; a third of a member's time to live. */
    private const val JOIN_INTERVAL_MILLISECONDS = 1_000L

    /** The pause before the next call after a failed one, and between two listings of the members. */
    private const val PAUSE_MILLISECONDS = 500L

    /** Added to the pause between two listings for each member, so that their calls do not grow with the fleet. */
    private const val LIST_PAUSE_MILLISECONDS_PER_MEMBER = 20L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        RelayEvent.Tick -> state.joinIfDue(now).then { it.listIfDue(now) }.then { it.endLeadershipIfUnconfirmed(now) }
        is RelayEvent.GroupJoined -> state.groupJoined(event, now)
        is RelayEvent.GroupFailed -> state.groupFailed(event, now)
        is RelayEvent.MembersListed -> state.membersListed(event, now)
        is RelayEvent.PauseDetected -> state.endLeadershipAfterPause(event, now)
        else -> state.unchanged()
    }

    private fun RelayState.joinIfDue(now: Timestamp): RelayStep {
        if (members.joining || now < members.joinDueAt || stop.requestedAt != null) return unchanged()
        return copy(members = members.copy(joining = true))
            .with(RelayEffect.JoinGroup(members.generation, sentAt = now))
    }

    private fun RelayState.listIfDue(now: Timestamp): RelayStep {
        val stale = members.generation != members.listedGeneration
        if (!stale || members.listing || now < members.listDueAt) return unchanged()
        return copy(members = members.copy(listing = true)).with(RelayEffect.ListMembers(members.generation))
    }

    private fun RelayState.groupJoined(event: RelayEvent.GroupJoined, now: Timestamp): RelayStep {
        val sentBeforePause = members.pausedAt?.let { event.sentAt <= it } ?: false
        val next = copy(
            members = members.copy(
                generation = event.generation,
                isLeader = event.isLeader && !sentBeforePause,
                joinedAt = event.sentAt,
                joinDueAt = now + JOIN_INTERVAL_MILLISECONDS,
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
        val next = copy(
            members = members.copy(
                joining = false,
                listing = false,
                joinDueAt = now + PAUSE_MILLISECONDS,
                listDueAt = now + PAUSE_MILLISECONDS,
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
            listedGeneration = event.generation,
            listing = false,
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
