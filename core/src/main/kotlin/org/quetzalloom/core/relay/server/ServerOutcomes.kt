package org.quetzalloom.core.relay.server

import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.ResponseHead
import org.quetzalloom.core.time.Timestamp

/** The weight of the latest attempt in the failure rate. */
private const val FAILURE_WEIGHT = 0.25

/** The suspension after the first failure that makes a server suspect; it doubles with each further one in a row. */
private const val SUSPENSION_MILLISECONDS = 250L
private const val LONGEST_SUSPENSION_DOUBLINGS = 3
private const val LONGEST_SUSPENSION_MILLISECONDS = 2_000L

/** The first suspension of a server that did not react at all, as each further try costs its caller about a second. */
private const val SILENT_SUSPENSION_MILLISECONDS = 500L

/** The suspension after a refusal. A full backend server has free slots again after a few responses. */
private const val REFUSAL_SUSPENSION_MILLISECONDS = 100L

/**
 * Returns the view after the head of a response. A server that refused the request is suspended, and one that is not
 * the server addressed is dropped.
 */
internal fun ServerView.afterResponseHead(head: ResponseHead, now: Timestamp): ServerView {
    val failed = head.isServerFailure
    val updated = withOutcome(failed, now).copy(
        consecutiveFailures = 0,
        loadReport = head.load ?: loadReport,
        workDuration = head.load?.workDurationPercent?.let { workDuration.record(it) } ?: workDuration,
        loadReportedAt = if (head.load != null) now else loadReportedAt,
        coldUntil = head.coldMilliseconds?.let { maxOf(coldUntil, now + it) } ?: coldUntil,
        closedUntil = head.retryAfterMilliseconds?.let { maxOf(closedUntil, now + it) } ?: closedUntil,
    )
    return when {
        head.misdirected -> updated.copy(dropAt = now)
        head.notRun -> updated.copy(suspendedUntil = now + REFUSAL_SUSPENSION_MILLISECONDS)
        else -> updated
    }
}

/** Returns the view after the server has read [work] of its pending work. */
internal fun ServerView.afterPromptRead(work: Long): ServerView =
    copy(pendingWork = (pendingWork - work).coerceAtLeast(0))

/** Returns the view after an attempt has ended, of whose prompt [workLeft] had still to be read. */
internal fun ServerView.afterAttemptEnd(workLeft: Long): ServerView =
    copy(inFlight = (inFlight - 1).coerceAtLeast(0), pendingWork = (pendingWork - workLeft).coerceAtLeast(0))

/**
 * Returns the view after an attempt failed. The server is suspended if the failure makes it suspect.
 *
 * An attempt that found no connection left says nothing about the server, but counts as a success in its failure rate.
 */
internal fun ServerView.afterFailure(failure: AttemptFailure, now: Timestamp): ServerView {
    if (!failure.serverSuspect) return withOutcome(failed = failure.mayHaveArrived, now)
    val first = if (failure.serverReacted) SUSPENSION_MILLISECONDS else SILENT_SUSPENSION_MILLISECONDS
    val doublings = consecutiveFailures.coerceAtMost(LONGEST_SUSPENSION_DOUBLINGS)
    val pause = (first shl doublings).coerceAtMost(LONGEST_SUSPENSION_MILLISECONDS)
    return withOutcome(failed = true, now)
        .copy(consecutiveFailures = consecutiveFailures + 1, suspendedUntil = now + pause)
}

/** Returns the view after an attempt that was counted as a failure has gone on without a response. */
internal fun ServerView.afterFurtherSilence(now: Timestamp): ServerView =
    copy(suspendedUntil = maxOf(suspendedUntil, now + SILENT_SUSPENSION_MILLISECONDS))

private fun ServerView.withOutcome(failed: Boolean, now: Timestamp): ServerView {
    val latest = if (failed) 1.0 else 0.0
    return copy(
        failureRate = failureRateAt(now) * (1 - FAILURE_WEIGHT) + latest * FAILURE_WEIGHT,
        failureRateUpdatedAt = now,
    )
}

/** Returns the view as a candidate for placement, where all routers together have [allWork] pending at the server. */
internal fun ServerView.toCandidate(allWork: Long, now: Timestamp): Candidate = Candidate(
    server = listing.id,
    zone = listing.zone,
    slots = listing.slots,
    inFlight = inFlight,
    load = loadAt(now),
    pendingWork = allWork,
    failureRate = failureRateAt(now),
    slowness = slowness.factorAt(now),
    workDuration = workDuration.factor,
)
