package org.quetzalloom.standins.engine

import org.quetzalloom.core.time.Timestamp

/**
 * An answer that an engine is generating.
 *
 * @property exchangeId the HTTP request that it answers.
 * @property priority the priority in the queue; lower numbers start first.
 * @property position the position of the next token. The first one is greater than 0 if the answer is resumed.
 * @property totalTokens the number of tokens in the answer, counted from position 0.
 * @property dueAt the time when the next token is due.
 * @property isStalled whether it sends nothing more although its connection stays open.
 */
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
