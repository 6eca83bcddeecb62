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
 * Any router that finds the new version bad reverts; only the one that holds the duty completes. A status is written only
 * after the status feed has been read, and only if nobody has written since.
 */
internal object RolloutsPart : RelayPart {
    /** A status that could not be written is tried again after this time. */
    private const val WRITE_PAUSE_MILLISECONDS = 300L

    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep = when (event) {
        is RelayEvent.FeedRead -> state.read(event, now)
        is RelayEvent.AnswerStarted -> state.count(event, now)
        is RelayEvent.StatusWritten -> state.written(event, now)
        RelayEvent.Tick -> state.unchanged().thenEach(state.rollouts.active) { reached, it -> reached.advance(it, now) }
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
        val progress = rollouts.byService[entry.service] ?: return unchanged()
        if (progress.order.version != entry.version || progress.phase == entry.phase) return unchanged()
        return copy(rollouts = rollouts.with(progress.copy(phase = entry.phase)))
            .report(now, "rollout_phase", "service" to entry.service, "phase" to entry.phase)
    }

    private fun RelayState.count(event: RelayEvent.AnswerStarted, now: Timestamp): RelayStep {
        val exchange = exchanges.byId[event.exchange] ?: return unchanged()
        val attempt = exchange.currentOrNull(event.attempt) ?: return unchanged()
        val progress = rollouts.byService[exchange.service]?.takeIf { it.open } ?: return unchanged()
        if (event.head.notRun) return unchanged()
        val latency = now - attempt.sentAt
        val next = if (attempt.version == progress.order.version) {
            progress.copy(new = progress.new.count(event.head.isServerFailure, latency))
        } else {
            progress.copy(old = progress.old.count(event.head.isServerFailure, latency))
        }
        return condemnIfBad(next, now)
    }

    private fun RelayState.condemnIfBad(progress: RolloutProgress, now: Timestamp): RelayStep {
        val bad = !progress.condemned && policies.exposure.isBad(progress.old, progress.new)
        val next = copy(rollouts = rollouts.with(progress.copy(condemned = progress.condemned || bad)))
        return if (bad) next.reportCondemned(progress, now) else next.unchanged()
    }

    private fun RelayState.reportCondemned(progress: RolloutProgress, now: Timestamp): RelayStep = report(
        now,
        "version_condemned",
        "service" to progress.order.service,
        "version" to progress.order.version,
        "answers" to progress.new.answers,
        "failures" to progress.new.failures,
        "old_answers" to progress.old.answers,
        "old_failures" to progress.old.failures,
        "log_latency_rise" to progress.new.meanLogLatency - progress.old.meanLogLatency,
    )

    private fun RelayState.advance(progress: RolloutProgress, now: Timestamp): RelayStep {
        val phase = wantedPhase(progress, now)
        val known = feeds.of(Feed.STATUS).next
        if (phase == null || phase == progress.phase || progress.writing) return unchanged()
        if (known == null || now < progress.writeDueAt) return unchanged()
        val order = progress.order
        return copy(rollouts = rollouts.with(progress.copy(writing = true)))
            .with(RelayEffect.WriteRolloutStatus(order.service, order.version, phase, expectedEnd = known))
            .then { it.report(now, "rollout_status_proposed", "service" to order.service, "phase" to phase) }
    }

    private fun RelayState.wantedPhase(progress: RolloutProgress, now: Timestamp): RolloutPhase? = when {
        progress.condemned -> RolloutPhase.REVERTED
        !members.holdsDuty -> null
        mayComplete(progress, now) -> RolloutPhase.COMPLETED
        else -> RolloutPhase.IN_PROGRESS
    }

    private fun RelayState.mayComplete(progress: RolloutProgress, now: Timestamp): Boolean =
        policies.exposure.mayComplete(elapsed(progress, now)) && newServers(progress, now) > 0

    private fun RelayState.newServers(progress: RolloutProgress, now: Timestamp): Int =
        servers.usable(progress.order.service, now).count { it.listing.version == progress.order.version }

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

/** Returns the share of the time of [progress] that has passed. */
internal fun elapsed(progress: RolloutProgress, now: Timestamp): Double =
    (now - progress.seenAt).toDouble() / progress.order.durationMilliseconds.coerceAtLeast(1)
