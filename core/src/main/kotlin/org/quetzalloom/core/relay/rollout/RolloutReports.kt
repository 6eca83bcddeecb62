package org.quetzalloom.core.relay.rollout

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.identity.VmId
import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.peer.RolloutReport
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** The accuracy of times that other routers report. Smaller differences would add up from router to router. */
private const val CLOCK_ERROR_MILLISECONDS = 200L

/** The maximum number of canary sessions on old versions in a report, and how many of them are the latest ones. */
private const val MAXIMUM_OLD_SESSIONS = 200
private const val LATEST_OLD_SESSIONS = 50

/** The number of sessions whose requests to the new version are reported. At most three can be heavy. */
private const val BUSIEST_SESSIONS = 4

/** Returns this router's reports of the roll-outs in progress, to send to the other routers. */
internal fun RelayState.rolloutReports(sequence: Long, now: Timestamp): List<RolloutReport> = rollouts.active.map {
    RolloutReport(
        service = it.order.service,
        version = it.order.version,
        ageMilliseconds = it.ageMilliseconds(now),
        old = it.old,
        new = it.new,
        condemned = it.condemned,
        proposal = it.proposal?.takeIf { proposal -> proposal.isOpen(now) }?.number,
        agreement = it.agreement?.takeIf { agreement -> agreement.isInForce(now) }?.proposal,
        agreedWith = it.agreement?.leader,
        oldSessions = it.oldSessionsToTell(sequence),
        heavySessions = it.heavySessions.toPersistentList(),
        newSessions = it.busiestNewSessions(),
    )
}

/** Returns the last hashes that were added, and others in turn, so that all routers learn all from a few beacons. */
private fun RolloutProgress.oldSessionsToTell(sequence: Long): PersistentList<Int> {
    val all = if (stage.isLast || condemned) emptyList() else oldSessions.toList()
    val (earlier, latest) = all.dropLast(LATEST_OLD_SESSIONS) to all.takeLast(LATEST_OLD_SESSIONS)
    val places = MAXIMUM_OLD_SESSIONS - LATEST_OLD_SESSIONS
    val first = if (earlier.size <= places) 0 else Math.floorMod(sequence * places, earlier.size)
    return (latest + (earlier + earlier).drop(first).take(minOf(places, earlier.size))).toPersistentList()
}

private fun RolloutProgress.busiestNewSessions(): PersistentMap<Int, Int> =
    newSessions.entries.sortedByDescending { it.value }.take(BUSIEST_SESSIONS)
        .associate { it.key to it.value }.toPersistentMap()

/**
 * Returns the transition that applies a report [received] from the router [sender]: its outcomes, its judgement of the
 * new version, and the time of the order if that is earlier than known so far.
 *
 * A report of a roll-out that this router does not know or that has ended, or of another version, changes nothing.
 */
internal fun RelayState.applyReport(sender: VmId, received: RolloutReport, now: Timestamp): RelayStep {
    val progress = rollouts.byService[received.service]?.takeIf { it.open && it.order.version == received.version }
        ?: return unchanged()
    val begunAt = now + -received.ageMilliseconds
    val unknownSessions = received.oldSessions.filter { it !in progress.oldSessions }
    val updated = progress.copy(
        firstSeenAt = if (progress.firstSeenAt - begunAt > CLOCK_ERROR_MILLISECONDS) begunAt else progress.firstSeenAt,
        peerOutcomes = progress.peerOutcomes.put(sender, received.toOutcomes()),
        heardAgeMilliseconds = maxOf(progress.heardAgeMilliseconds, received.ageMilliseconds),
        oldSessions = progress.oldSessions.addAll(unknownSessions),
        heavySessions = progress.heavySessions.addAll(received.heavySessions),
    )
    return judge(updated.copy(stage = stageOf(updated, now)), sender, received, now)
        .then { it.countAgreement(sender, received).unchanged() }
        .then { it.agreeIfProposed(sender, received, now) }
}

private fun RolloutReport.toOutcomes(): PeerOutcomes = PeerOutcomes(old = old, new = new, newSessions = newSessions)

private fun RelayState.judge(
    progress: RolloutProgress,
    sender: VmId,
    received: RolloutReport,
    now: Timestamp,
): RelayStep = if (received.condemned && !progress.condemned) {
    adoptCondemnation(progress, sender, now)
} else {
    condemnIfBad(progress, now)
}

private fun RelayState.adoptCondemnation(progress: RolloutProgress, sender: VmId, now: Timestamp): RelayStep =
    copy(rollouts = rollouts.with(progress.copy(condemned = true))).reportCondemned(progress, now, foundBy = sender)

/**
 * Returns the transition that condemns the new version of [progress] if its outcomes at all routers are bad, unless
 * this router has just agreed that the roll-out may be completed.
 */
internal fun RelayState.condemnIfBad(progress: RolloutProgress, now: Timestamp): RelayStep {
    val mayCondemn = !progress.condemned && !progress.isBoundByAgreement(now)
    val bad = mayCondemn && policies.exposure.isBad(progress.allOld, progress.allNew)
    val judged = progress.copy(condemned = progress.condemned || bad, noticeDue = progress.noticeDue || bad)
    val next = copy(rollouts = rollouts.with(judged))
    return if (bad) next.reportCondemned(progress, now, foundBy = settings.vm) else next.unchanged()
}

private fun RelayState.reportCondemned(progress: RolloutProgress, now: Timestamp, foundBy: VmId): RelayStep = report(
    now,
    "version_condemned",
    "service" to progress.order.service,
    "version" to progress.order.version,
    "found_by" to foundBy,
    "routers_heard" to progress.peerOutcomes.size,
    "answers" to progress.allNew.answers,
    "failures" to progress.allNew.failures,
    "old_answers" to progress.allOld.answers,
    "old_failures" to progress.allOld.failures,
    "starts_timed" to progress.allNew.starts.count,
    "start_excess" to progress.allNew.starts.mean,
    "old_start_excess" to progress.allOld.starts.mean,
    "events_timed" to progress.allNew.events.count,
    "event_excess" to progress.allNew.events.mean,
    "old_event_excess" to progress.allOld.events.mean,
    "log_latency_rise" to progress.allNew.meanLogLatency - progress.allOld.meanLogLatency,
)
