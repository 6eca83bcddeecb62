package org.quetzalloom.core.selection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Timestamp

/**
 * The state of [QualityPart].
 *
 * @property sums the sums of the ratings of the latest periods, by subject and origin.
 * @property nextOffset the offset from which to read the ratings of this VM's samples next.
 * @property readAt when the last read of ratings began, or `null` before the first.
 */
internal data class QualityState(
    val sums: PersistentMap<RatingSubject, PersistentMap<RatingOrigin, QualityEstimate>> = persistentMapOf(),
    val nextOffset: Long = 0,
    val readAt: Timestamp? = null,
) {
    /** Returns the estimate for [subject] from the ratings of all origins. */
    fun estimateOf(subject: RatingSubject): QualityEstimate =
        sums[subject]?.values?.fold(QualityEstimate()) { sum, part -> sum + part } ?: QualityEstimate()

    /** Returns the state without the ratings of periods before [first], so that a loss of quality becomes visible. */
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
