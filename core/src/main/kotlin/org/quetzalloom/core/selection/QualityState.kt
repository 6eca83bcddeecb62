package org.quetzalloom.core.selection

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.quetzalloom.core.time.Timestamp

/**
 * The slice of [QualityPart].
 *
 * @property sums the ratings known, by subject and by the VM start that collected them.
 * @property next the place from which to read this VM's ratings next.
 * @property askedAt when ratings were last asked for.
 */
internal data class QualityState(
    val sums: PersistentMap<RatingSubject, PersistentMap<String, QualityEstimate>> = persistentMapOf(),
    val next: Long = 0,
    val askedAt: Timestamp? = null,
) {
    fun estimateOf(subject: RatingSubject): QualityEstimate =
        sums[subject]?.values?.fold(QualityEstimate()) { sum, part -> sum + part } ?: QualityEstimate()
}
