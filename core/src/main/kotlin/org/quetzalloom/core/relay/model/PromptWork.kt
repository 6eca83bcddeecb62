package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest

/**
 * The length of the prompt, times a factor for each size of model.
 *
 * @property factor how many times longer a model takes than the next smaller one.
 */
public data class PromptWork(public val factor: Long = 3) : WorkEstimate {
    override fun of(request: RelayRequest, model: Int): Long =
        (0 until model).fold(request.promptTokens.toLong()) { work, _ -> work * factor }
}
