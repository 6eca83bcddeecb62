package org.quetzalloom.core.relay.server

import org.quetzalloom.core.relay.exchange.AnswerHead
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.time.Timestamp

/** The weight of the latest attempt in the share of failures. */
private const val FAILURE_WEIGHT = 0.25

/** The pause after the first failed connection; it doubles with each further one. */
private const val SUSPENSION_MILLISECONDS = 250L
private const val LONGEST_SUSPENSION_DOUBLINGS = 3
private const val LONGEST_SUSPENSION_MILLISECONDS = 2_000L

/** The first pause of a server that was not heard at all: each further try costs its caller about a second. */
private const val SILENT_SUSPENSION_MILLISECONDS = 500L

/** The pause after a refusal; a full backend server has room again within some answers. */
private const val REFUSAL_MILLISECONDS = 100L

/** Returns the view after the head of an answer. */
internal fun ServerView.takeAnswer(head: AnswerHead, now: Timestamp): ServerView {
    val failed = head.isServerFailure
    val heard = score(failed, now).copy(
        failuresInRow = 0,
        load = head.load ?: load,
        loadAt = if (head.load != null) now else loadAt,
        coldUntil = head.coldMilliseconds?.let { maxOf(coldUntil, now + it) } ?: coldUntil,
    )
    return when {
        head.misdirected -> heard.copy(goneAt = now)
        head.notRun -> heard.copy(suspendedUntil = now + REFUSAL_MILLISECONDS)
        else -> heard
    }
}

/** Returns the view after [work] of the prompts has been read. */
internal fun ServerView.takeRead(work: Long): ServerView = copy(work = (this.work - work).coerceAtLeast(0))

/** Returns the view after an attempt has ended, of which [workLeft] had still to be read. */
internal fun ServerView.takeEnd(workLeft: Long): ServerView =
    copy(inFlight = (inFlight - 1).coerceAtLeast(0), work = (work - workLeft).coerceAtLeast(0))

/** Returns the view after an attempt was lost. */
internal fun ServerView.takeFailure(failure: AttemptFailure, now: Timestamp): ServerView {
    if (!failure.serverSuspect) return score(failed = failure.mayHaveArrived, now)
    val first = if (failure.serverReacted) SUSPENSION_MILLISECONDS else SILENT_SUSPENSION_MILLISECONDS
    val doublings = failuresInRow.coerceAtMost(LONGEST_SUSPENSION_DOUBLINGS)
    val pause = (first shl doublings).coerceAtMost(LONGEST_SUSPENSION_MILLISECONDS)
    return score(failed = true, now).copy(failuresInRow = failuresInRow + 1, suspendedUntil = now + pause)
}

private fun ServerView.score(failed: Boolean, now: Timestamp): ServerView {
    val latest = if (failed) 1.0 else 0.0
    return copy(
        failureScore = failureScoreAt(now) * (1 - FAILURE_WEIGHT) + latest * FAILURE_WEIGHT,
        scoredAt = now,
    )
}

/** Returns the view as a placement sees it, where all routers together have [allWork] at the server. */
internal fun ServerView.toCandidate(allWork: Long, now: Timestamp): Candidate = Candidate(
    server = listing.id,
    zone = listing.zone,
    slots = listing.slots,
    inFlight = inFlight,
    load = loadAt(now),
    work = allWork,
    failing = failureScoreAt(now),
    slowness = slowness.factorAt(now),
)
