package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.peer.RolloutReport
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/**
 * Returns the transition that proposes to the other routers to complete the roll-out of [progress], if this router is
 * the leader, the time has come, and its last proposal is no longer open.
 */
internal fun RelayState.proposeCompletionIfDue(progress: RolloutProgress, now: Timestamp): RelayStep {
    val due = members.isLeaderAt(now) && !progress.condemned && mayComplete(progress, now)
    if (!due || progress.proposal?.isOpen(now) == true) return unchanged()
    val proposal = CompletionProposal(number = now.epochMilliseconds, madeAt = now)
    return copy(rollouts = rollouts.with(progress.copy(proposal = proposal))).report(
        now,
        "completion_proposed",
        "service" to progress.order.service,
        "version" to progress.order.version,
        "members" to members.routerCount,
        "answers" to progress.allNew.answers,
        "failures" to progress.allNew.failures,
        "starts_timed" to progress.allNew.starts.count,
        "start_excess" to progress.allNew.starts.mean,
        "old_start_excess" to progress.allOld.starts.mean,
        "events_timed" to progress.allNew.events.count,
        "event_excess" to progress.allNew.events.mean,
        "old_event_excess" to progress.allOld.events.mean,
    )
}

/**
 * Returns whether all routers agree to the open proposal of [progress]. Routers that have been silent for long do not
 * count, as long as most of the others agree.
 */
internal fun RelayState.isCompletionAgreed(progress: RolloutProgress, now: Timestamp): Boolean {
    val proposal = progress.proposal?.takeIf { it.isOpen(now) } ?: return false
    val others = members.sortedMembers.filter { it != settings.vm }
    val missing = others.filter { it !in proposal.agreed }
    val mostAgree = proposal.agreed.size > missing.size
    return missing.isEmpty() || proposal.isAnswerDue(now) && mostAgree && missing.none { it in peers.lastBeacons }
}

/** Returns the state in which the agreement in [received], if there is one to this router's proposal, is counted. */
internal fun RelayState.countAgreement(sender: VmId, received: RolloutReport): RelayState {
    val progress = rollouts.byService[received.service]
    val proposal = progress?.proposal
        ?.takeIf { received.agreedWith == settings.vm && received.agreement == it.number && !received.condemned }
        ?: return this
    val counted = proposal.copy(agreed = proposal.agreed.add(sender))
    return copy(rollouts = rollouts.with(progress.copy(proposal = counted)))
}

/**
 * Returns the transition by which this router agrees to the proposal in [received], if there is one, unless it holds
 * the new version to be bad.
 */
internal fun RelayState.agreeIfProposed(sender: VmId, received: RolloutReport, now: Timestamp): RelayStep {
    val progress = rollouts.byService[received.service]?.takeUnless { it.condemned }
    val isNew = received.proposal != null && received.proposal != progress?.agreement?.proposal
    if (progress == null || received.proposal == null || !isNew) return unchanged()
    val agreement = CompletionAgreement(leader = sender, proposal = received.proposal, agreedAt = now)
    return copy(rollouts = rollouts.with(progress.copy(agreement = agreement))).report(
        now,
        "completion_agreed",
        "service" to progress.order.service,
        "version" to progress.order.version,
        "leader" to sender,
        "answers" to progress.allNew.answers,
        "failures" to progress.allNew.failures,
        "starts_timed" to progress.allNew.starts.count,
        "start_excess" to progress.allNew.starts.mean,
        "old_start_excess" to progress.allOld.starts.mean,
        "events_timed" to progress.allNew.events.count,
        "event_excess" to progress.allNew.events.mean,
        "old_event_excess" to progress.allOld.events.mean,
    )
}

/**
 * Returns the routers that must get this router's next beacon, so that proposals and agreements arrive without delay:
 * those that have not agreed to its open proposal, and the one whose proposal it agrees to.
 */
internal fun RelayState.completionReceivers(now: Timestamp): Set<VmId> = rollouts.active.flatMap { progress ->
    val proposal = progress.proposal?.takeIf { it.isOpen(now) }
    val unanswered = if (proposal == null) emptyList() else members.sortedMembers.filter { it !in proposal.agreed }
    val leader = progress.agreement?.takeIf { it.isInForce(now) }?.leader
    unanswered + listOfNotNull(leader)
}.toSet()
