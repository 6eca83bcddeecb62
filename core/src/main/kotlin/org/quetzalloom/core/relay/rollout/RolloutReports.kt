package org.quetzalloom.core.relay.rollout

import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.peer.RolloutReport
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** Times told by others are as exact as this; smaller differences would add up from router to router. */
private const val CLOCK_ERROR_MILLISECONDS = 200L

/** Returns what this router tells the others of its roll-outs. */
internal fun RelayState.rolloutReports(now: Timestamp): List<RolloutReport> = rollouts.active.map {
    RolloutReport(
        service = it.order.service,
        version = it.order.version,
        ageMilliseconds = now - it.seenAt,
        old = it.old,
        new = it.new,
        condemned = it.condemned,
    )
}

/**
 * Returns the transition that takes what the router [teller] says of a roll-out: its outcomes, and when it began.
 *
 * A report of a roll-out that this router does not know, or of another version, changes nothing.
 */
internal fun RelayState.takeReport(teller: VmId, told: RolloutReport, now: Timestamp): RelayStep {
    val progress = rollouts.byService[told.service]?.takeIf { it.open && it.order.version == told.version }
        ?: return unchanged()
    val begunAt = now + -told.ageMilliseconds
    val heard = progress.copy(
        seenAt = if (progress.seenAt - begunAt > CLOCK_ERROR_MILLISECONDS) begunAt else progress.seenAt,
        heard = progress.heard.put(teller, HeardOutcomes(old = told.old, new = told.new)),
    )
    return if (told.condemned && !heard.condemned) condemnWith(heard, teller, now) else condemnIfBad(heard, now)
}

private fun RelayState.condemnWith(progress: RolloutProgress, teller: VmId, now: Timestamp): RelayStep =
    copy(rollouts = rollouts.with(progress.copy(condemned = true))).reportCondemned(progress, now, foundBy = teller)

/** Returns the transition that stops the new version of [progress] if its outcomes, here and elsewhere, are bad. */
internal fun RelayState.condemnIfBad(progress: RolloutProgress, now: Timestamp): RelayStep {
    val bad = !progress.condemned && policies.exposure.isBad(progress.allOld, progress.allNew)
    val next = copy(rollouts = rollouts.with(progress.copy(condemned = progress.condemned || bad)))
    return if (bad) next.reportCondemned(progress, now, foundBy = settings.vm) else next.unchanged()
}

private fun RelayState.reportCondemned(progress: RolloutProgress, now: Timestamp, foundBy: VmId): RelayStep = report(
    now,
    "version_condemned",
    "service" to progress.order.service,
    "version" to progress.order.version,
    "found_by" to foundBy,
    "routers_heard" to progress.heard.size,
    "answers" to progress.allNew.answers,
    "failures" to progress.allNew.failures,
    "old_answers" to progress.allOld.answers,
    "old_failures" to progress.allOld.failures,
    "log_latency_rise" to progress.allNew.meanLogLatency - progress.allOld.meanLogLatency,
)
