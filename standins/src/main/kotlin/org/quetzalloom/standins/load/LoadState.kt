package org.quetzalloom.standins.load

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.time.Timestamp

/**
 * The state of a load run.
 *
 * @property startedAt the time of the first tick, or `null` before it.
 * @property sentCount the number of requests sent.
 * @property samples the results of the requests that have ended.
 * @property isReported whether the report has been made.
 */
data class LoadState(
    val startedAt: Timestamp? = null,
    val sentCount: Long = 0,
    val samples: PersistentList<LoadSample> = persistentListOf(),
    val isReported: Boolean = false,
)
