package org.quetzalloom.core.relay.model

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * How soon the models of a route could answer a request.
 *
 * @property elapsedMilliseconds the time since the request arrived.
 * @property queueMilliseconds how long the prompts before it would take at the backend server with the fewest.
 * @property waitsMilliseconds how long each model would take from now on until its answer begins, at the backend server
 *   that would be soonest, smallest model first; empty while nothing is known.
 */
public data class ModelLatencyEstimate(
    public val elapsedMilliseconds: Long = 0,
    public val queueMilliseconds: Long = 0,
    public val waitsMilliseconds: PersistentList<Long> = persistentListOf(),
) {
    /** Returns when the answer of [model] would begin, in milliseconds after the request arrived. */
    public fun startMilliseconds(model: Int): Long = elapsedMilliseconds + waitsMilliseconds.getOrElse(model) { 0 }
}
