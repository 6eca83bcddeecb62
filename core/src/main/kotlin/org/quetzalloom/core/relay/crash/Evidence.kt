package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.reducer.then
import org.quetzalloom.core.reducer.thenEach
import org.quetzalloom.core.relay.RelayState
import org.quetzalloom.core.relay.RelayStep
import org.quetzalloom.core.relay.exchange.Attempt
import org.quetzalloom.core.relay.exchange.Exchange
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.relay.report
import org.quetzalloom.core.relay.unchanged
import org.quetzalloom.core.time.Timestamp

/** The maximum number of parts of a prompt that are considered, which bounds what one request may add to the state. */
private const val MAXIMUM_PARTS = 32

/** The keys of the parts of the prompt that other requests may share, in order. */
internal val RelayRequest.partKeys: List<ContentKey>
    get() = sharedParts.take(MAXIMUM_PARTS).map { ContentKey.ofPart(it.id) }

/** The keys of what other requests may have in common with this one: its whole content, and parts of its prompt. */
internal val RelayRequest.contentKeys: List<ContentKey>
    get() = listOfNotNull(contentHash?.let { ContentKey.ofContent(it) }) + partKeys

/** Returns the transition that records that [run] was lost under [attempt] of [exchange] before an answer began. */
internal fun RelayState.recordLoss(exchange: Exchange, attempt: Attempt, run: ServerRun, now: Timestamp): RelayStep {
    val request = exchange.request
    val wholeContent = if (request.contentHash == null) 1 else 0
    val next = request.contentKeys.foldIndexed(crashes) { index, current, key ->
        current.update(key, index + wholeContent) { it.withLoss(run, now) }
    }
    return applyEvidence(next, now).then {
        it.report(
            now,
            "content_suspected",
            "request" to request.callerId,
            "server" to attempt.server,
            "after_ms" to (now - attempt.sentAt),
            "losses" to request.contentKeys.joinToString(",") { key ->
                "$key=${it.crashes.evidence[key]?.losses?.size ?: 0}"
            },
        )
    }
}

/** Returns the transition to the evidence in [next]; logs and chooses what is quarantined by it. */
internal fun RelayState.applyEvidence(next: CrashesState, now: Timestamp): RelayStep {
    if (next == crashes) return unchanged()
    val chosen = next.choose(policies.quarantine)
    val added = chosen.quarantined - crashes.quarantined
    val removed = crashes.quarantined - chosen.quarantined
    return copy(crashes = chosen).unchanged()
        .thenEach(added.sorted()) { current, key -> current.reportQuarantined(key, now) }
        .thenEach(removed.sorted()) { current, key -> current.reportReleased(key, now) }
}

private fun RelayState.reportQuarantined(key: ContentKey, now: Timestamp): RelayStep {
    val evidence = crashes.evidence[key]
    return report(
        now,
        "content_quarantined",
        "content" to key,
        "losses" to evidence?.losses?.size,
        "last_loss_ms_ago" to evidence?.lastLossAt?.let { now - it },
        "trial_in_ms" to trialDueAtOrNull(key)?.let { it - now },
    )
}

private fun RelayState.reportReleased(key: ContentKey, now: Timestamp): RelayStep = report(
    now,
    "content_released",
    "content" to key,
    "losses" to (crashes.evidence[key]?.losses?.size ?: 0),
    "answered_ms_ago" to crashes.evidence[key]?.answeredAt?.let { now - it },
)
