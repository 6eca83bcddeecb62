package org.quetzalloom.core.relay.model

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

/**
 * How soon the models of a route could begin to answer a request.
 *
 * @property elapsedMilliseconds the time since the request arrived.
 * @property queueMilliseconds the time to read the prompts ahead at the backend server with the fewest of them.
 * @property medianQueueMilliseconds the time to read the prompts ahead at the median backend server.
 * @property waitsMilliseconds the time from now until the response of each model would begin at that backend server,
 *   from the smallest model to the largest; empty, which counts as 0 for each, while nothing is known.
 */
public data class ModelLatencyEstimate(
    public val elapsedMilliseconds: Long = 0,
    public val queueMilliseconds: Long = 0,
    public val medianQueueMilliseconds: Long = 0,
    public val waitsMilliseconds: PersistentList<Long> = persistentListOf(),
) {
    /** Returns the time from the request's arrival to the start of a response of the model with the index [model]. */
    public fun startMilliseconds(model: Int): Long = elapsedMilliseconds + waitsMilliseconds.getOrElse(model) { 0 }
}
