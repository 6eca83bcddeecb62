package org.quetzalloom.core.relay.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.persistentMapOf
import kotlinx.collections.immutable.persistentSetOf
import kotlinx.collections.immutable.toPersistentMap
import kotlinx.collections.immutable.toPersistentSet
import org.quetzalloom.core.relay.exchange.RelayRequest
import org.quetzalloom.core.time.Timestamp

/**
 * What this router knows of requests that may crash backend servers.
 *
 * @property evidence the evidence about each content under which a server was lost lately, at any router.
 * @property answered the parts of prompts that were answered at this router lately, and when.
 * @property quarantined the keys whose requests are not sent, chosen from [evidence].
 * @property enforced the quarantined keys whose attempts have been cancelled.
 * @property pruneDueAt when to drop outdated entries next.
 */
internal data class CrashesState(
    val evidence: PersistentMap<ContentKey, CrashEvidence> = persistentMapOf(),
    val answered: PersistentMap<ContentKey, Timestamp> = persistentMapOf(),
    val quarantined: PersistentSet<ContentKey> = persistentSetOf(),
    val enforced: PersistentSet<ContentKey> = persistentSetOf(),
    val pruneDueAt: Timestamp = Timestamp.EPOCH,
) {
    /** Returns the state with [change] applied to the evidence about [key], or to new evidence at [position]. */
    fun update(key: ContentKey, position: Int, change: (CrashEvidence) -> CrashEvidence): CrashesState {
        val previous = evidence[key] ?: answered[key].let { CrashEvidence(position, answeredAt = it) }
        return copy(evidence = evidence.put(key, change(previous)))
    }

    /** Returns the state after [request] was answered at [now]. */
    fun recordAnswer(request: RelayRequest, now: Timestamp): CrashesState = copy(
        answered = request.partKeys.fold(answered) { all, key -> all.put(key, now) },
        evidence = request.contentKeys.fold(evidence) { all, key ->
            all[key]?.let { all.put(key, it.withAnswer(now)) } ?: all
        },
    )

    /** Returns the state in which the quarantined keys follow from the evidence. */
    fun choose(policy: QuarantinePolicy): CrashesState = copy(quarantined = chooseQuarantined(policy))

    /**
     * Returns the keys that explain the losses. Requests that share one part usually share others, which are lost with
     * the same servers. So keys are taken in the order of [SUSPICION], and a loss that one key explains does not count
     * against the next. Then keys are left out whose losses the others explain.
     */
    private fun chooseQuarantined(policy: QuarantinePolicy): PersistentSet<ContentKey> {
        val suspects = evidence.entries.filter { policy.isEnough(it.value.losses.values) }.sortedWith(SUSPICION)
        val taken = suspects.fold(persistentListOf<ContentKey>()) { keys, (key, _) ->
            if (policy.isEnough(unexplained(key, keys))) keys.add(key) else keys
        }
        return taken.fold(taken) { keys, key ->
            if (policy.isEnough(unexplained(key, keys.remove(key)))) keys else keys.remove(key)
        }.toPersistentSet()
    }

    /** Returns when the servers were lost under [key] that were not lost under one of [others] too. */
    private fun unexplained(key: ContentKey, others: List<ContentKey>): Collection<Timestamp> {
        val explained = others.flatMap { evidence[it]?.losses?.keys.orEmpty() }.toSet()
        return evidence[key]?.losses.orEmpty().filterKeys { it !in explained }.values
    }

    /** Returns the state at [now] without outdated entries, and without the weakest evidence if there is too much. */
    fun prune(now: Timestamp): CrashesState {
        if (now < pruneDueAt) return this
        val current = evidence.filter { (key, found) -> now - found.latestAt <= retention(key) }
        val kept = if (current.size <= MAXIMUM_EVIDENCE) {
            current
        } else {
            current.entries.sortedWith(compareBy({ -it.value.losses.size }, { now - it.value.latestAt }))
                .take(MAXIMUM_EVIDENCE).associate { it.key to it.value }
        }
        return copy(
            evidence = kept.toPersistentMap(),
            answered = answered.filterValues { now - it <= ANSWER_RETENTION_MILLISECONDS }.newest(MAXIMUM_ANSWERED),
            pruneDueAt = now + PRUNE_INTERVAL_MILLISECONDS,
        )
    }

    private fun Map<ContentKey, Timestamp>.newest(count: Int): PersistentMap<ContentKey, Timestamp> =
        if (size <= count) {
            toPersistentMap()
        } else {
            entries.sortedByDescending { it.value }.take(count).associate { it.key to it.value }.toPersistentMap()
        }

    private fun retention(key: ContentKey): Long =
        if (key in quarantined) QUARANTINE_RETENTION_MILLISECONDS else SUSPICION_RETENTION_MILLISECONDS

    private val CrashEvidence.latestAt: Timestamp
        get() = listOfNotNull(lastLossAt, answeredAt, trialAt).maxOrNull() ?: Timestamp.EPOCH

    private companion object {
        const val PRUNE_INTERVAL_MILLISECONDS = 1_000L

        /** Long enough to know most parts that are in use. */
        const val ANSWER_RETENTION_MILLISECONDS = 30_000L
        const val SUSPICION_RETENTION_MILLISECONDS = 60_000L

        /** Longer than the longest time between two trials. */
        const val QUARANTINE_RETENTION_MILLISECONDS = 3_600_000L
        const val MAXIMUM_EVIDENCE = 256
        const val MAXIMUM_ANSWERED = 4_096
    }
}

/**
 * The order of suspicion: content that was not answered lately first, then what the fewest requests share, then the
 * content of most losses. What many requests share is also lost with servers that crash for another reason.
 */
private val SUSPICION: Comparator<Map.Entry<ContentKey, CrashEvidence>> = compareBy(
    { it.value.answeredAt != null },
    { -it.value.position },
    { -it.value.losses.size },
    { it.key },
)
