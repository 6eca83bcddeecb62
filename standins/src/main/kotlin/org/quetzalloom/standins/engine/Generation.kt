package org.quetzalloom.standins.engine

import org.quetzalloom.core.time.Timestamp

/** One answer that an engine generates. The token at [position] is due at [dueAt]. */
data class Generation(
    val exchange: String,
    val version: String,
    val prompt: String,
    val priority: Int,
    val position: Int,
    val total: Int,
    val dueAt: Timestamp,
    val silent: Boolean = false,
)
