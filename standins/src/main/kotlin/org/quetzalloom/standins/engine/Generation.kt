package org.quetzalloom.standins.engine

import org.quetzalloom.core.time.Timestamp

/** One answer that an engine generates. The token at [position] is due at [dueAt]. */
data class Generation(
    val exchangeId: String,
    val version: String,
    val prompt: String,
    val priority: Int,
    val position: Int,
    val totalTokens: Int,
    val dueAt: Timestamp,
    val isStalled: Boolean = false,
)
