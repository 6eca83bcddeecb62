package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayEvent
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.Attempt
import org.quetzalloom.core.relay.exchange.CurrentAttempt
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** A stage of a response that takes more than this many times as long as usual under its load is slow. */
private const val SLOW_FACTOR = 2.0

/** Bounds the ratio of one time to the usual one, so that a single time says no more than a few. */
private const val MAXIMUM_RATIO = 8.0

/**
 * Returns the transition that judges [timing] of [attempt] against the usual time. The time of a version in regular use
 * becomes part of the usual times; during a roll-out the judgement is counted for the version of [attempt].
 *
 * Times at cold backend servers are left out.
 */
internal fun RelayState.recordTiming(exchange: Exchange, attempt: Attempt, timing: Timing, now: Timestamp): RelayStep {
    if (wasCold(attempt)) return unchanged()
    val progress = rollouts.byService[exchange.service]
    val isNew = attempt.version == progress?.order?.version && progress.phase != RolloutPhase.COMPLETED
    val learned = if (isNew) this else copy(rollouts = rollouts.copy(usualTimes = rollouts.usualTimes.record(timing)))
    val usual = rollouts.usualTimes.usualOrNull(timing)
    return if (usual == null) learned.unchanged() else learned.countTiming(exchange, attempt, timing, usual, now)
}

/**
 * Returns the transition that counts an attempt that ends at [now] before a stage of its response was complete. The
 * time that it has taken is a lower bound: it is counted if even that is slow, and is not counted otherwise.
 */
internal fun RelayState.recordIncomplete(current: CurrentAttempt, now: Timestamp): RelayStep {
    val (exchange, attempt) = current
    val timing = when {
        attempt.startedAt == null -> Timing.start(exchange, attempt, now)
        exchange.route.streaming && !attempt.eventsTimed ->
            Timing.eventOrNull(exchange, attempt, RelayEvent.ResponseProgressed.EVENTS, now)
        else -> null
    }
    val usual = timing?.let { rollouts.usualTimes.usualOrNull(it) }
    val isSlow = timing != null && usual != null && timing.isSlow(usual) && !wasCold(attempt)
    return if (isSlow) countTiming(exchange, attempt, timing, usual, now) else unchanged()
}

private fun RelayState.wasCold(attempt: Attempt): Boolean =
    servers.views[attempt.server]?.let { attempt.sentAt < it.coldUntil } ?: false

private fun Timing.isSlow(usualMilliseconds: Double): Boolean = milliseconds > SLOW_FACTOR * usualMilliseconds

private fun RelayState.countTiming(
    exchange: Exchange,
    attempt: Attempt,
    timing: Timing,
    usualMilliseconds: Double,
    now: Timestamp,
): RelayStep {
    val progress = rollouts.byService[exchange.service]?.takeIf { it.open } ?: return unchanged()
    val logRatio = Math.log((timing.milliseconds / usualMilliseconds).coerceIn(1 / MAXIMUM_RATIO, MAXIMUM_RATIO))
    val step = condemnIfBad(progress.record(attempt.version) { it.recordTiming(timing.stage, logRatio) }, now)
    val isSlow = attempt.version == progress.order.version && timing.isSlow(usualMilliseconds)
    return if (isSlow) step.then { it.reportSlow(exchange, attempt, timing, usualMilliseconds, now) } else step
}

private fun RelayState.reportSlow(
    exchange: Exchange,
    attempt: Attempt,
    timing: Timing,
    usualMilliseconds: Double,
    now: Timestamp,
): RelayStep = report(
    now,
    "new_version_slow",
    "request" to exchange.request.callerId,
    "attempt" to attempt.number,
    "server" to attempt.server,
    "version" to attempt.version,
    "stage" to timing.stage,
    "load_class" to timing.loadClass,
    "took_ms" to timing.milliseconds.toLong(),
    "usual_ms" to usualMilliseconds.toLong(),
)
