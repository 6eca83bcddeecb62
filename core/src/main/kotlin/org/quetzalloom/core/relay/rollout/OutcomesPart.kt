package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayPart
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.CurrentAttempt
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** Counts the answers of both versions of a roll-out, and finds a new version that is bad. */
internal object OutcomesPart : RelayPart {
    override fun reduce(state: RelayState, event: RelayEvent, now: Timestamp): RelayStep {
        val current = (event as? RelayEvent.AnswerStarted)?.takeUnless { it.head.notRun }
            ?.let { state.exchanges.currentOrNull(it.exchange, it.attempt) }
        return if (current == null) state.unchanged() else state.count(current, event.head.isServerFailure, now)
    }

    private fun RelayState.count(current: CurrentAttempt, failed: Boolean, now: Timestamp): RelayStep {
        val progress = rollouts.byService[current.exchange.service]?.takeIf { it.open } ?: return unchanged()
        val latency = now - current.attempt.sentAt
        val next = if (current.attempt.version == progress.order.version) {
            progress.copy(new = progress.new.count(failed, latency))
        } else {
            progress.copy(old = progress.old.count(failed, latency))
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
}
