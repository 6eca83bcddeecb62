package org.quetzalloom.core.selection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Timestamp

/**
 * The slice of [QualityPart].
 *
 * @property sums the ratings of the latest periods, by subject and origin.
 * @property next the place from which to read this VM's ratings next.
 * @property readAt when ratings were last asked for.
 */
internal data class QualityState(
    val sums: PersistentMap<RatingSubject, PersistentMap<RatingOrigin, QualityEstimate>> = persistentMapOf(),
    val next: Long = 0,
    val readAt: Timestamp? = null,
) {
    fun estimateOf(subject: RatingSubject): QualityEstimate =
        sums[subject]?.values?.fold(QualityEstimate()) { sum, part -> sum + part } ?: QualityEstimate()

    /** Returns the state without the ratings of periods before [first], so that a version that turns bad is seen. */
    fun withoutPeriodsBefore(first: Long): QualityState {
        val kept = sums.entries.fold(sums) { updated, (subject, byOrigin) ->
            val expired = byOrigin.keys.filter { it.period < first }
            if (expired.isEmpty()) {
                updated
            } else {
                updated.put(
                    subject,
                    expired.fold(byOrigin) { remaining, origin -> remaining.remove(origin) }
                )
            }
        }
        return copy(sums = kept)
    }
}
