package org.quetzalloom.standins.load

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.quetzalloom.core.time.Timestamp

/** How far the load tool is. */
data class LoadState(
    val startedAt: Timestamp? = null,
    val sentCount: Long = 0,
    val samples: PersistentList<LoadSample> = persistentListOf(),
    val isReported: Boolean = false,
)
