package org.quetzalloom.core.relay.crash

import org.quetzalloom.core.relay.RelayEffect
import org.quetzalloom.core.relay.exchange.RelayRequest

/**
 * A request that ended at [at], in milliseconds since the start of a [CrashRig].
 *
 * @property answered whether its caller got a complete response.
 * @property refusal the error response, or `null` if it was answered or its response cut off.
 */
class EndedRequest(
    val at: Long,
    val request: RelayRequest,
    val answered: Boolean,
    val refusal: RelayEffect.Refuse? = null,
) {
    /** Returns whether the prompt has [part]. */
    fun has(part: String): Boolean = request.prompt.any { it.id == part }
}
