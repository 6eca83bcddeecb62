package org.quetzalloom.core.relay.crash

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Timestamp

/**
 * What speaks for and against requests with a certain content as the cause of crashes.
 *
 * @property position the position of the content in the requests: a later part of a prompt is shared by fewer requests;
 *   0 for the content of a whole request.
 * @property losses the runs of backend servers that were lost under such a request before it had an answer, and when;
 *   only those since [answeredAt].
 * @property answeredAt when such a request was last answered, or `null` if none was while there was a suspicion.
 * @property trialAt when a router last sent such a request as a trial, or `null` if none did.
 */
internal data class CrashEvidence(
    val position: Int,
    val losses: PersistentMap<ServerRun, Timestamp> = persistentMapOf(),
    val answeredAt: Timestamp? = null,
    val trialAt: Timestamp? = null,
) {
    /** When a server was last lost, or `null` if none was since the last answer. */
    val lastLossAt: Timestamp? get() = losses.values.maxOrNull()

    /** Returns the evidence with the loss of [run] at [at]; the same if such a request was answered then or later. */
    fun withLoss(run: ServerRun, at: Timestamp): CrashEvidence {
        val outdated = answeredAt?.let { at <= it + ANSWER_MARGIN_MILLISECONDS } ?: false
        return if (outdated || run in losses) this else copy(losses = losses.put(run, at))
    }

    /** Returns the evidence after such a request was answered at [at]: earlier losses have another cause. */
    fun withAnswer(at: Timestamp): CrashEvidence {
        val latest = answeredAt.orLater(at)
        val outdated = losses.filterValues { it <= latest + ANSWER_MARGIN_MILLISECONDS }.keys
        return copy(answeredAt = latest, losses = outdated.fold(losses) { kept, run -> kept.remove(run) })
    }

    /** Returns the evidence after a router sent such a request as a trial at [at]. */
    fun withTrial(at: Timestamp): CrashEvidence = copy(trialAt = trialAt.orLater(at))

    /**
     * Returns [other] if it is clearly later than this time. Reports make a time later by their delay; without the
     * margin it would grow with each report that goes from router to router.
     */
    private fun Timestamp?.orLater(other: Timestamp): Timestamp =
        this?.takeIf { other - it < REPORT_DELAY_MARGIN_MILLISECONDS } ?: other

    private companion object {
        const val REPORT_DELAY_MARGIN_MILLISECONDS = 1_000L

        /** Routers learn of one crash at slightly different times, and some answers end with it. */
        const val ANSWER_MARGIN_MILLISECONDS = 100L
    }
}
