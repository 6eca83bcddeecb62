package org.quetzalloom.core.relay.server

import kotlinx.collections.immutable.toPersistentList
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.exchange.AnswerHead
import org.quetzalloom.core.relay.exchange.AttemptFailure
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.rollout.RolloutPhase
import org.quetzalloom.core.relay.rollout.RolloutProgress
import org.quetzalloom.core.relay.rollout.elapsed
import org.quetzalloom.core.router.bucketOf
import org.quetzalloom.core.router.stableHash
import org.quetzalloom.core.time.Timestamp

private const val COLD_WINDOW_MILLISECONDS = 1_000L
private const val PER_THOUSAND = 1_000

/** The weight of the latest attempt in the share of failures. */
private const val FAILURE_WEIGHT = 0.25

/** The pause after the first failed connection; it doubles with each further one. */
private const val SUSPENSION_MILLISECONDS = 250L
private const val LONGEST_SUSPENSION_DOUBLINGS = 3

/** The pause after a refusal; a full backend server has room again within some answers. */
private const val REFUSAL_MILLISECONDS = 100L

/** Returns the backend servers that may get [exchange] at [now]. */
internal fun RelayState.allowed(exchange: Exchange, now: Timestamp): List<ServerView> {
    val usable = servers.usable(exchange.service, now)
    val versions = usable.map { it.listing.version }.toSet()
    val right = if (versions.size <= 1) usable.notReverted(this, exchange) else usable.ofVersion(this, exchange, now)
    return right.filter { mayTakeCold(it, now) }
}

private fun List<ServerView>.notReverted(state: RelayState, exchange: Exchange): List<ServerView> {
    val rollout = state.rollouts.byService[exchange.service]
    val stopped = rollout?.takeIf { it.phase == RolloutPhase.REVERTED || it.condemned }?.order?.version
    return filter { it.listing.version != stopped }
}

private fun List<ServerView>.ofVersion(state: RelayState, exchange: Exchange, now: Timestamp): List<ServerView> {
    val rollout = state.rollouts.byService[exchange.service] ?: return ofMostCommonVersion()
    val (new, old) = partition { it.listing.version == rollout.order.version }
    val wantsNew = rollout.wantsNew(state, exchange, now)
    return if (wantsNew) new else old
}

/** Without an order a second version may only be the forerunner of one that has not been read yet. */
private fun List<ServerView>.ofMostCommonVersion(): List<ServerView> =
    groupBy { it.listing.version }.values.maxWith(compareBy({ it.size }, { -it.minOf { view -> view.listing.startedAt } }))

private fun RolloutProgress.wantsNew(state: RelayState, exchange: Exchange, now: Timestamp): Boolean = when {
    condemned || phase == RolloutPhase.REVERTED -> false
    phase == RolloutPhase.COMPLETED -> true
    else -> drawsNew(state, exchange, now)
}

/** A session that is already at one version stays there while it must, and never goes back. */
private fun RolloutProgress.drawsNew(state: RelayState, exchange: Exchange, now: Timestamp): Boolean {
    val exposure = state.policies.exposure
    val session = exchange.request.session
    val pin = session?.let { state.pins.pinOrNull(it, state.settings.sessionMilliseconds, now) }
    val elapsed = elapsed(this, now)
    return when {
        pin?.version == order.version -> true
        pin != null && !exposure.mayMoveSessions(elapsed) -> false
        else -> {
            val subject = session ?: exchange.request.callerId ?: exchange.id
            bucketOf(subject, PER_THOUSAND) < exposure.share(elapsed) * PER_THOUSAND
        }
    }
}

/** A cold backend server bears only so many requests a second, from all routers together. */
private fun RelayState.mayTakeCold(view: ServerView, now: Timestamp): Boolean {
    if (now >= view.coldUntil) return true
    val borne = routing?.services?.get(view.listing.service)?.coldPerSecond ?: 0.0
    if (borne <= 0.0) return true
    val recent = view.coldSends.count { now - it < COLD_WINDOW_MILLISECONDS }
    return recent < coldShare(view, borne)
}

/** Returns how many requests a second this router may send to a cold backend server that bears [borne] of them. */
private fun RelayState.coldShare(view: ServerView, borne: Double): Int {
    val equal = Math.floor(borne / members.shareholders).toInt()
    if (equal > 0) return equal
    val ranked = members.vms.sortedBy { stableHash(view.listing.id.value, it.value) }.take(borne.toInt())
    return if (settings.vm in ranked) 1 else 0
}

/** Returns the view after an attempt was sent at [now]. */
internal fun ServerView.takeSend(now: Timestamp): ServerView {
    val recent = coldSends.filter { now - it < COLD_WINDOW_MILLISECONDS }
    val sends = if (now < coldUntil) recent + now else recent
    return copy(inFlight = inFlight + 1, coldSends = sends.toPersistentList())
}

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

/** Returns the view after an attempt was lost. */
internal fun ServerView.takeFailure(failure: AttemptFailure, now: Timestamp): ServerView {
    if (!failure.serverSuspect) return score(failed = failure.sent, now)
    val pause = SUSPENSION_MILLISECONDS shl failuresInRow.coerceAtMost(LONGEST_SUSPENSION_DOUBLINGS)
    return score(failed = true, now).copy(failuresInRow = failuresInRow + 1, suspendedUntil = now + pause)
}

private fun ServerView.score(failed: Boolean, now: Timestamp): ServerView {
    val latest = if (failed) 1.0 else 0.0
    return copy(
        failureScore = failureScoreAt(now) * (1 - FAILURE_WEIGHT) + latest * FAILURE_WEIGHT,
        scoredAt = now,
    )
}

/** Returns the view as a placement sees it. */
internal fun ServerView.toCandidate(now: Timestamp): Candidate = Candidate(
    server = listing.id,
    zone = listing.zone,
    slots = listing.slots,
    inFlight = inFlight,
    load = loadAt(now),
    failing = failureScoreAt(now),
)
