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
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.relay.with
import org.quetzalloom.core.time.Timestamp

/**
 * Brings roll-outs to their end.
 *
 * Any router that finds the new version bad reverts; only the one that holds the duty completes. A status is written
 * only after the status feed has been read, and only if nobody has written since.
 */
internal object RolloutsPart : RelayPart {
    /** A status that could not be written is tried again after this time. */
    private const val WRITE_PAUSE_MILLISECONDS = 300L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.FeedRead -> state.read(event, now)
        is RelayEvent.StatusWritten -> state.written(event, now)
        is RelayEvent.PeerHeard -> state.unchanged().thenEach(event.beacon.rollouts) { reached, told ->
            reached.takeReport(event.beacon.vm, told, now)
        }
        RelayEvent.Tick -> state.unchanged().thenEach(
            state.rollouts.active
        ) { reached, each -> reached.advance(each, now) }
        else -> state.unchanged()
    }

    private fun RelayState.read(event: RelayEvent.FeedRead, now: Timestamp): RelayStep {
        val ordered = event.entries.filterIsInstance<FeedEntry.Rollout>().map { it.order.service }.toSet()
        val removed = event.entries.filterIsInstance<FeedEntry.RolloutRemoved>().map { it.service }
        val whole = event.snapshot && event.feed == Feed.ORDERS
        val absent = if (whole) rollouts.byService.keys - ordered else emptySet()
        return unchanged()
            .thenEach(event.entries) { reached, entry -> reached.take(entry, now) }
            .thenEach(removed + absent) { reached, service -> reached.forget(service) }
    }

    private fun RelayState.take(entry: FeedEntry, now: Timestamp): RelayStep = when (entry) {
        is FeedEntry.Rollout -> begin(entry.order, now)
        is FeedEntry.RolloutStatus -> learn(entry, now)
        else -> unchanged()
    }

    private fun RelayState.begin(order: RolloutOrder, now: Timestamp): RelayStep {
        if (rollouts.byService[order.service]?.order == order) return unchanged()
        val next = copy(rollouts = rollouts.with(RolloutProgress(order = order, seenAt = now)))
        return next.report(
            now,
            "rollout_ordered",
            "service" to order.service,
            "version" to order.version,
            "duration_ms" to order.durationMilliseconds,
        )
    }

    private fun RelayState.forget(service: ServiceName): RelayStep =
        copy(rollouts = rollouts.copy(byService = rollouts.byService.remove(service))).unchanged()

    private fun RelayState.learn(entry: FeedEntry.RolloutStatus, now: Timestamp): RelayStep {
        val progress = rollouts.byService[entry.service]?.takeIf { it.order.version == entry.version }
        if (progress == null || progress.phase == entry.phase) return unchanged()
        return copy(rollouts = rollouts.with(progress.copy(phase = entry.phase)))
            .report(now, "rollout_phase", "service" to entry.service, "phase" to entry.phase)
    }

    private fun RelayState.advance(progress: RolloutProgress, now: Timestamp): RelayStep {
        val phase = wantedPhase(progress, now)?.takeIf { it != progress.phase && progress.mayWrite(now) }
        val known = feeds.of(Feed.STATUS).next
        if (phase == null || known == null) return unchanged()
        val order = progress.order
        return copy(rollouts = rollouts.with(progress.copy(writing = true)))
            .with(RelayEffect.WriteRolloutStatus(order.service, order.version, phase, expectedEnd = known))
            .then { it.report(now, "rollout_status_proposed", "service" to order.service, "phase" to phase) }
    }

    private fun RelayState.written(event: RelayEvent.StatusWritten, now: Timestamp): RelayStep {
        val progress = rollouts.byService[event.service] ?: return unchanged()
        val next = progress.copy(
            writing = false,
            writeDueAt = now + WRITE_PAUSE_MILLISECONDS,
            phase = if (event.accepted) event.phase else progress.phase,
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
