package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.feed.Feed
import org.quetzalloom.core.relay.feed.FeedEntry
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.routing.ServiceName
import org.quetzalloom.core.relay.session.canarySessionsOnOldVersions
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Carries out roll-outs: follows their orders and phases, and writes the next phase to the store.
 *
 * Any router that knows the new version to be bad reverts the roll-out; only the leader starts and completes it, and
 * completes it only with the agreement of the others, so that no router holds the version to be bad at that time. A
 * status is written only after the status feed has been read, and only if no router has written to the feed since.
 */
internal object RolloutsPart : RelayPart {
    /** The pause after a write of a status before the next one, so that a failed write is retried after this time. */
    private const val WRITE_INTERVAL_MILLISECONDS = 300L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.FeedRead -> state.feedRead(event, now)
        is RelayEvent.StatusWriteFinished -> state.statusWriteFinished(event, now)
        is RelayEvent.BeaconReceived -> state.unchanged().thenEach(event.beacon.rollouts) { current, received ->
            current.applyReport(event.beacon.vm, received, now)
        }
        RelayEvent.Tick -> state.unchanged()
            .thenEach(state.rollouts.active) { current, progress -> current.proposeAndAdvance(progress, now) }
            .thenEach(state.rolloutsWithLostPhases(now)) { current, progress -> current.writeAgain(progress, now) }
        else -> state.unchanged()
    }

    private fun RelayState.feedRead(event: RelayEvent.FeedRead, now: Timestamp): RelayStep {
        val ordered = event.entries.filterIsInstance<FeedEntry.Rollout>().map { it.order.service }.toSet()
        val removed = event.entries.filterIsInstance<FeedEntry.RolloutRemoved>().map { it.service }
        val isOrdersSnapshot = event.snapshot && event.feed == Feed.ORDERS
        val absent = if (isOrdersSnapshot) rollouts.byService.keys - ordered else emptySet()
        return unchanged()
            .thenEach(event.entries) { current, entry -> current.applyEntry(entry, now) }
            .thenEach(removed + absent) { current, service -> current.forget(service) }
    }

    private fun RelayState.applyEntry(entry: FeedEntry, now: Timestamp): RelayStep = when (entry) {
        is FeedEntry.Rollout -> startRollout(entry.order, now)
        is FeedEntry.RolloutStatus -> applyStatus(entry, now)
        else -> unchanged()
    }

    private fun RelayState.startRollout(order: RolloutOrder, now: Timestamp): RelayStep {
        if (rollouts.byService[order.service]?.order == order) return unchanged()
        val sessions = canarySessionsOnOldVersions(order, now)
        val progress = RolloutProgress(
            order = order,
            firstSeenAt = now,
            oldSessions = sessions,
            noticeDue = sessions.isNotEmpty(),
        )
        val next = copy(rollouts = rollouts.with(progress.copy(stage = stageOf(progress, now))))
        return next.report(
            now,
            "rollout_ordered",
            "service" to order.service,
            "version" to order.version,
            "duration_ms" to order.durationMilliseconds,
            "canary_sessions_on_old" to sessions.size,
        ).then { it.applyEarlierReports(order, now) }
    }

    private fun RelayState.forget(service: ServiceName): RelayStep =
        copy(rollouts = rollouts.copy(byService = rollouts.byService.remove(service))).unchanged()

    private fun RelayState.proposeAndAdvance(known: RolloutProgress, now: Timestamp): RelayStep {
        val progress = known.enter(stageOf(known, now))
        return copy(rollouts = rollouts.with(progress)).proposeCompletionIfDue(progress, now).then { current ->
            current.rollouts.byService[progress.order.service]
                ?.let { current.advance(it, now) }
                ?: current.unchanged()
        }
    }

    private fun RelayState.advance(progress: RolloutProgress, now: Timestamp): RelayStep {
        val phase = targetPhase(progress, now)?.takeIf { it != progress.phase || progress.unconfirmed }
        return if (phase == null) unchanged() else write(progress, phase, now)
    }

    private fun RelayState.writeAgain(progress: RolloutProgress, now: Timestamp): RelayStep {
        val phase = lostPhaseOrNull(progress, now)
        return if (phase == null) unchanged() else write(progress, phase, now)
    }

    private fun RelayState.write(progress: RolloutProgress, phase: RolloutPhase, now: Timestamp): RelayStep {
        val statusEnd = feeds.of(Feed.STATUS).nextOffset
        if (statusEnd == null || !progress.mayWrite(now)) return unchanged()
        val order = progress.order
        val own = progress.proposal?.takeIf { phase == RolloutPhase.COMPLETED }
            ?.let { CompletionAgreement(leader = settings.vm, proposal = it.number, agreedAt = now) }
        return copy(rollouts = rollouts.with(progress.copy(writing = true, agreement = own ?: progress.agreement)))
            .with(RelayEffect.WriteRolloutStatus(order.service, order.version, phase, expectedEnd = statusEnd))
            .then { it.report(now, "rollout_status_proposed", "service" to order.service, "phase" to phase) }
    }

    private fun RelayState.statusWriteFinished(event: RelayEvent.StatusWriteFinished, now: Timestamp): RelayStep {
        val progress = rollouts.byService[event.service] ?: return unchanged()
        val next = progress.copy(
            writing = false,
            writeDueAt = now + WRITE_INTERVAL_MILLISECONDS,
            phase = if (event.accepted) event.phase else progress.phase,
            unconfirmed = progress.unconfirmed && !event.accepted,
        )
        return copy(rollouts = rollouts.with(next)).report(
            now,
            if (event.accepted) "rollout_status_written" else "rollout_status_not_written",
            "service" to event.service,
            "phase" to event.phase,
            "detail" to event.detail,
        )
    }
}
