package org.quetzalloom.core.relay.model

import org.quetzalloom.core.relay.exchange.RelayRequest

/**
 * Estimates the work as the length of the prompt, multiplied by [factor] for each step to a larger model.
 *
 * @property factor how many times as long a model takes to read a prompt as the next smaller one.
 */
public data class PromptWork(public val factor: Long = 3) : WorkEstimate {
    override fun of(request: RelayRequest, model: Int): Long =
        (0 until model).fold(request.promptTokens.toLong()) { work, _ -> work * factor }
}
