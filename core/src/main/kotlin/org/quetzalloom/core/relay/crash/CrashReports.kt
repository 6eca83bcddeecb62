package org.quetzalloom.core.relay.crash

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.toPersistentList
import kotlinx.collections.immutable.toPersistentMap
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.time.Timestamp

/** The maximum number of reports in a beacon, which must fit into one datagram, and in one that tells of the store. */
private const val MAXIMUM_REPORTS = 6
private const val MAXIMUM_REPORTS_BESIDE_STORE = 5

/** The number of these that are about the most suspicious content; the others take turns. */
private const val STRONGEST_REPORTS = 3

/** The order of reports: about content that was not answered lately first, and about the content of most losses. */
private val URGENCY: Comparator<Map.Entry<ContentKey, CrashEvidence>> = compareBy(
    { it.value.answeredAt != null },
    { -it.value.losses.size },
    { -it.value.position },
    { it.key },
)

/** How long it is reported that a content under which servers were lost has been answered. */
private const val CLEARED_MILLISECONDS = 3_000L

/** The maximum number of losses in a report, the latest ones. */
private const val MAXIMUM_LOSSES = 5

/**
 * Returns what this router reports of crashes in its beacon [sequence]. It also passes on what other routers reported,
 * so that all routers of a large fleet learn it from a few beacons each. There are fewer if the beacon [tellsOfStore].
 */
internal fun RelayState.crashReports(
    sequence: Long,
    tellsOfStore: Boolean,
    now: Timestamp,
): PersistentList<CrashReport> {
    val ordered = crashes.evidence.entries.filter { it.value.isWorthReporting(now) }.sortedWith(URGENCY)
    val (strongest, others) = ordered.take(STRONGEST_REPORTS) to ordered.drop(STRONGEST_REPORTS)
    val places = (if (tellsOfStore) MAXIMUM_REPORTS_BESIDE_STORE else MAXIMUM_REPORTS) - STRONGEST_REPORTS
    val first = if (others.size <= places) 0 else Math.floorMod(sequence * places, others.size)
    val inTurn = (others + others).drop(first).take(minOf(places, others.size))
    return (strongest + inTurn).map { (key, evidence) -> evidence.toReport(key, now) }.toPersistentList()
}

private fun CrashEvidence.isWorthReporting(now: Timestamp): Boolean =
    losses.isNotEmpty() || answeredAt?.let { now - it <= CLEARED_MILLISECONDS } ?: false

private fun CrashEvidence.toReport(key: ContentKey, now: Timestamp): CrashReport = CrashReport(
    key = key,
    position = position,
    lossAges = losses.entries.sortedByDescending { it.value }.take(MAXIMUM_LOSSES)
        .associate { it.key to now - it.value }.toPersistentMap(),
    answerAgeMilliseconds = answeredAt?.let { now - it },
    trialAgeMilliseconds = trialAt?.let { now - it },
)

/** Returns the transition that adds [reports], received from another router, to the evidence. */
internal fun RelayState.mergeReports(reports: List<CrashReport>, now: Timestamp): RelayStep = applyEvidence(
    reports.fold(crashes) { current, report -> current.update(report.key, report.position) { it.merge(report, now) } },
    now,
)

private fun CrashEvidence.merge(report: CrashReport, now: Timestamp): CrashEvidence {
    val withLosses = report.lossAges.entries.fold(this) { evidence, (run, age) -> evidence.withLoss(run, now + -age) }
    val withTrial = report.trialAgeMilliseconds?.let { withLosses.withTrial(now + -it) } ?: withLosses
    return report.answerAgeMilliseconds?.let { withTrial.withAnswer(now + -it) } ?: withTrial
}
